package org.hawthornglade.core.agent;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Checks the invariants of agents under random combinations of faults; see {@link AgentSimulation}. */
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
