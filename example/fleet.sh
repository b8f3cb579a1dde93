#!/usr/bin/env bash
# Runs a fleet of three agents on this machine, all of them voters, to try docs/fleet.md and docs/maintenance.md with.
# Needs bin/dunestep and a running toy (example/toy). Ctrl-C stops the agents.
fronts=(127.0.0.1:9200 127.0.0.1:9201 127.0.0.1:9202)
doors=(127.0.0.1:9210 127.0.0.1:9211 127.0.0.1:9212)
discovery=127.0.0.1:8500
folder=$(mktemp -d)
trap 'trap - EXIT; kill $(jobs -p) 2>/dev/null; wait; rm -rf "$folder"; exit' EXIT INT TERM
printf '[fleet]\non = true\nvoters = [0, 1, 2]\npolicy = true\nwindows = true\nturns = 0\n' >"$folder/operator.toml"
peers="\"${fronts[0]}\", \"${fronts[1]}\", \"${fronts[2]}\""
for i in 0 1 2; do
  mkdir "$folder/$i"
  sed -e "s/\"balancers\": 1, \"ordinal\": 0/\"balancers\": 3, \"ordinal\": $i/" -e 's/"mayTell": false/"mayTell": true/' \
    -e "s/\"seed\"/\"peer_listen\": \"${fronts[i]}\", \"peers\": [$peers], \"peers_all\": \"${fronts[i]}\", \"seed\"/" \
    example/config.json >"$folder/$i.json"
  TMPDIR=$folder/$i LB_NAME=n$i LB_LISTEN=${fronts[i]} LB_DISCOVERY=$discovery LB_OPS=${doors[i]} \
    LB_CONFIG=$folder/$i.json bin/dunestep --operator "$folder/operator.toml" &
done
wait
