package org.hawthornglade.core.agent;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** What must always hold of agents, whatever faults come together; see {@link AgentSimulation}. */
final class AgentPropertyTest {
    @Property(tries = 60, seed = "20261204")
    void invariantsHoldUnderFaultsWithEnginesThatCheckFencing(@ForAll long seed) {
        AgentSimulation.run(seed, true);
    }

    @Property(tries = 60, seed = "20261205")
    void invariantsHoldUnderFaultsOfOneProcessWithEnginesThatIgnoreFencing(@ForAll long seed) {
        AgentSimulation.run(seed, false);
    }
}
