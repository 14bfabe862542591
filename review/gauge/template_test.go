//go:build review

package main

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
)

// fields are the fields with which the platform fills the template of a node's settings.
type fields map[string]any

var (
	section = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}\n?(.*?)\{\{/([a-z_.0-9]+)\}\}\n?`)
	gap     = regexp.MustCompile(`\{\{([a-z_.0-9@]+)\}\}`)
)

// lookUp returns the field of a dotted name, or nil.
func (f fields) lookUp(name string) any {
	var found any = f
	for _, word := range strings.Split(name, ".") {
		switch inner := found.(type) {
		case fields:
			found = inner[word]
		case []int:
			index := 0
			if _, err := fmt.Sscanf(word, "%d", &index); err != nil || index >= len(inner) {
				return nil
			}
			found = inner[index]
		default:
			return nil
		}
	}
	return found
}

// fill fills a template. A section appears once for each entry of a table, and once for another value.
func fill(template string, f fields) string {
	filled := section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		switch value := f.lookUp(parts[1]).(type) {
		case nil:
			return ""
		case fields:
			return fillEach(parts[2], value)
		default:
			return fill(parts[2], f)
		}
	})
	return gap.ReplaceAllStringFunc(filled, func(text string) string {
		if value := f.lookUp(gap.FindStringSubmatch(text)[1]); value != nil {
			return fmt.Sprint(value)
		}
		return ""
	})
}

func fillEach(body string, table fields) string {
	names := make([]string, 0, len(table))
	for name := range table {
		names = append(names, name)
	}
	sort.Strings(names)
	var filled strings.Builder
	for _, name := range names {
		filled.WriteString(strings.NewReplacer("{{@}}", name, "{{.}}", fmt.Sprint(table[name])).Replace(body))
	}
	return filled.String()
}

// nodeFields returns the fields of a node of a small deployment.
func nodeFields(d *daemon, zone, store string) fields {
	host, port, _ := strings.Cut(d.peers, ":")
	peerPort := 0
	_, _ = fmt.Sscanf(port, "%d", &peerPort)
	return fields{
		"node_name": d.name, "zone": zone, "region": "here", "ip_address": host,
		"zones":            fields{"zone-0": "here", "zone-1": "here", "zone-2": "here"},
		"listen_addresses": fields{"frontend": d.callers, "readiness": d.readiness},
		"internal_ports":   []int{peerPort, peerPort + 15},
		"limits":           fields{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": memoryLimit, "file_descriptors": descriptorLimit, "link_mbps": 1000},
		"platform":         fields{"address": store, "row_bytes": maxRowBytes},
		"bounds": fields{
			"max_hold_ms": 10000, "stop_timeout_ms": 900, "gang_timeout_ms": 3000, "reclaim_ms": 3400, "checkpoint_interval_s": 1,
			"status_s": 120, "remote_factor": 3, "config_apply_ms": 2000, "grace_period_s": 6,
		},
	}
}
