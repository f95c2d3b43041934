package main

import (
	"fmt"
	"time"

	"yarrowbarrow/lab/standin/discovery"
)

// deployment is a small deployment: controllers between engines of 8 cores and discovery.
type deployment struct {
	engines     []*engine
	discovery   *discovery.Discovery
	controllers []*process
}

// settings are those of deploy/example.json, with the figures of the rules that the operators' first site states.
// controllers is the number of the fleet's controllers.
func settings(controllers int) map[string]any {
	second := int64(time.Second)
	return map[string]any{"balancers": controllers, "rank": 0, "zone": "east", "tick": 5000000, "discovery": "pushed",
		"classes": []any{
			map[string]any{"name": "lookup", "aim": second, "aim_stretch": 2, "deadline": 6 * second, "gain": 1, "late_worth": 0.3,
				"repeat": "retryable"},
			map[string]any{"name": "load", "aim": 3 * second, "aim_stretch": 3, "deadline": 20 * second, "gain": 4, "late_worth": 0.6,
				"repeat": "dedup", "group": "all", "key_ttl": 12 * second}},
		"machine_types": []string{"std"},
		"family_info": map[string]any{"kind_cores": []int{8}, "ram_of_kind_mb": []int{16384}, "width_by_class": []int{1, 2},
			"grants_count": true, "grant_cap": 0.4, "out_of_memory": "swap"},
		"load_report": map[string]any{"columns": []string{"cpu"}},
		"permissions": map[string]any{"connect_timeout": 250000000, "idle_close": 15 * second, "max_attempts": 3, "max_retry_after": second,
			"may_cancel": true, "probes": true, "retry_after": true, "streams_per_conn": 32, "open_cap": 20000},
		"safety": map[string]any{"cold": 15 * second, "fall": 2 * second, "start_capacity": 0.31, "tip_multiple": 3, "drain_grace": 2 * second,
			"budget_window": 10 * second, "extra_floor": 2, "extra_per_request": 0.2}}
}

// deploy starts a small deployment.
func (r *run) deploy(controllers, engines int, settings map[string]any, l limits) *deployment {
	d := &deployment{}
	var err error
	d.discovery, err = discovery.Start("127.0.0.1:0")
	must(err)
	var hosts []discovery.Host
	for n := range engines {
		e := r.startEngine(fmt.Sprint("engine-", n+1), 8)
		d.engines = append(d.engines, e)
		hosts = append(hosts, d.host(e, "active"))
	}
	d.discovery.Publish(true, hosts...)
	for rank := range controllers {
		settings["rank"] = rank
		p := r.startController(fmt.Sprint("n", rank+1), d.discovery.Address(), d.discovery.EventsAfter(0), settings, l)
		d.controllers = append(d.controllers, p)
	}
	r.note("limits: %v cores, %d MB, %d descriptors; %d engines of 8 cores", l.Cores, l.MemoryMB, l.Sockets, engines)
	return d
}

// host is the entry of an engine in the list.
func (d *deployment) host(e *engine, health string) discovery.Host {
	return discovery.Host{Host: e.name, Dial: e.address(), Site: "east", Class: "std", Health: health}
}

// stop ends the controllers, after a last look at their memory and whether they answer.
func (d *deployment) stop() {
	for _, p := range d.controllers {
		p.noteUsage()
		begun := time.Now()
		p.r.note("%s was asked whether it is ready: %v, after %v; the process runs: %v", p.name, p.ready(), time.Since(begun), p.alive())
	}
	for _, p := range d.controllers {
		p.stop()
	}
}
