package org.hawthornglade.core.agent;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** What must always hold of agents, whatever faults come together; see {@link AgentWorld}. */
final class AgentPropertyTest {
    @Property(tries = 60, seed = "20261204")
    void holdsUnderFaultsWithEnginesThatCheckNumbers(@ForAll long seed) {
        AgentWorld.run(seed, true);
    }

    @Property(tries = 60, seed = "20261205")
    void holdsUnderFaultsOfOneProcessWithEnginesThatIgnoreNumbers(@ForAll long seed) {
        AgentWorld.run(seed, false);
    }
}
