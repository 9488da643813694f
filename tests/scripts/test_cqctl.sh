# Tests every command of cqctl against one daemon, with errors and exit codes.
# Guards against changes of exit codes or output formats that scripts rely on.
. tests/scripts/cqctl_common.sh
unset CQ_SERVER
start_store
start_daemon a surat 11 --schedd
wait_for 20 readiness answers $net.11:7102/readyz

echo "# usage"
run
run unknown
run settings
run settings set --help
run data-centre out --help
run members
run members --server nonsense
run members --server $net.11:7102 --output xml
run members --server $net.11:7102 --timeout-ms 0
run jobs show --server $net.11:7102
run members --server $net.11:7102 --unknown
export CQ_SERVER=$net.11:7102

echo "# connection"
run members --server $net.12:9
CQ_OPERATOR_TOKEN=wrong-token run members

echo "# settings"
run settings get
run settings get workspaces/red
run_masked settings set workspaces/red weight=2 \
	'guarantees=[{"count":2,"accelerators":8,"adjacency":"rack"}]'
run settings get workspaces/red
run_masked settings set workspaces/red weight=3
run_masked settings get workspaces/red --output json
run settings set workspaces/red weight=5000
run settings set workspaces/red colour=blue
run settings set workspaces/red weight
run settings set workspaces/red
run settings set workspaces/red --value '{"weight":'
run settings set workspaces/red --value '[]'
run settings set workspaces/red --file "/nonexistent"
run settings set nowhere/red weight=2
run settings set workspaces/red weight=4 --revision 1
run settings set workspaces/red weight=4 --revision x
echo '{"weight":7}' | run_masked settings set workspaces/blue --file - \
	--revision 0 --output json
run_masked settings set workspaces/blue weight=8 --no-wait
run settings diff workspaces/red weight=9 limits.max_running_jobs=5
run settings diff workspaces/red weight=3
run settings diff workspaces/red weight=9 --output json
run settings check workspaces/red --remove
run settings check workspaces/red \
	'guarantees=[{"count":3,"accelerators":8,"adjacency":"rack"}]'
run settings check workspaces/red weight=0
run settings check global 'classes=[{"name":"pairing","rank":0}]'
run_masked settings set workspaces/blue --remove
run settings get workspaces/blue
run settings set global --remove
run_masked settings set workspaces/blue --value '{"weight":1}' --revision 0
run settings get
run_masked settings history
run_masked settings history workspaces/blue

echo "# data centres"
run data-centre list
run data-centre out surat
run_masked data-centre in surat --create
run_masked data-centre out surat --notice-s 60
run data-centre out surat --notice-s soon
run data-centre list
run settings check data-centres/surat state=in

echo "# lists"
run jobs list
run jobs list --state running
run jobs list --output json
run workspaces
run workers
run endpoints
run_masked members
run status

echo "# jobs"
run jobs show j1
run jobs show none
run jobs show stale
run jobs show moved
run jobs show broken
run jobs explain j1
run jobs cancel j1
run jobs cancel none
echo '{"workspace":"red","class":"pairing","accelerators":8}' |
	run jobs submit - --key k1
echo '{"class":"pairing","accelerators":8}' |
	run jobs submit - --key k2 --workspace red --output json
echo '{"workspace":"red"}' | run jobs submit -
echo '[1]' | run jobs submit -
echo '{' | run jobs submit -
