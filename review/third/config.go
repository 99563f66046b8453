package main

import (
	"fmt"
	"strings"
)

// bigRoutes is the number of routes by which the disruption big_config lets a configuration grow on the users' pages.
const bigRoutes = 1400

// firstConfig is the first call of the operator, with all items.
const firstConfig = `{"upsert":{"routes":[
{"name":"r-9itfrzm","hostname":"jepu9.example","path_prefix":"/lepu270/","type":"safe","timeout":"4000ms","aim":"600ms","priority":2,"backend":"huvo11a","max_attempts":2,"public":false,"session_affinity":false,"allowed_regions":[],"version":"00000001"},
{"name":"r-7w1k4pd","hostname":"jepu9.example","path_prefix":"/vota118/","type":"safe","timeout":"4000ms","aim":"4000ms","priority":2,"backend":"huvo11a","max_attempts":2,"public":false,"session_affinity":false,"allowed_regions":[],"version":"00000001"}],
"tenants":[{"name":"sese880","api_keys":["9anu6wsjnbanfqasnmgk"],"priority":1,"rate_per_s":0,"burst":0,"allowed_regions":[],"version":"00000001"}],
"backends":[{"name":"huvo11a","health_path":"/healthz","max_connections":390,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":17.0,"version":"00000001"},
{"name":"kafi81c","health_path":"/healthz","max_connections":390,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":17.0,"version":"00000001"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms","version":"00000001"}},"delete":{"routes":[]}}`

// bigChange returns a call that sets bigRoutes routes, as the users' pages lay them out, under one version.
func bigChange(version int) string {
	routes := make([]string, bigRoutes)
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"name":"r-%07d","hostname":"hulo84.example","path_prefix":"/xapu%d/","type":"safe","timeout":"%dms",`+
			`"aim":"300ms","priority":2,"weighted_backends":[{"backend":"huvo11a","weight":90},{"backend":"kafi81c","weight":10}],`+
			`"max_attempts":2,"public":false,"session_affinity":true,"allowed_regions":[],"version":"%08x"}`, i, i, 1500+version%10, version)
	}
	return `{"upsert":{"routes":[` + strings.Join(routes, ",") + `]},"delete":{"routes":[]}}`
}
