"""The decisions that all agents of a fleet share: cluster membership, one agreed traffic plan, and drains.

Nothing in this package does I/O or reads a clock: files, sockets and clocks belong to the agents
(`dunepulley.agent`) and to the dispatchers (`dunepulley.net`). Times are passed in as milliseconds.

`membership`        which agents are reachable, and which of them leads
`caspaxos`          acceptor and proposer of the replicated register that holds the plan
`traffic_plan`      the plan: the state of each zone, its spillover, and the operator overrides
`fleet_view`        the dispatchers' observations of zones, merged into one view of the fleet
`zone_history`      for how long each zone has been lost or overloaded
`zone_transitions`  the next state of one zone, and the fraction of its traffic to spill over
`spare_capacity`    divides the spare slots of healthy zones among the zones that need them
`plan_draft`        the zones of the next plan, computed from the modules above
`planner`           decides when a new plan is needed, and applies operator overrides
`plan_application`  which endpoints a dispatcher uses under a plan, and when it falls back to all of them
`regions`           the operators' file of which zones are near each other
`drains`            the endpoints that operators have taken out of service
`drain_json`        the JSON form of drains
`codec`             the JSON form of all other messages
`fields`            checks of single fields of decoded JSON or TOML
"""
