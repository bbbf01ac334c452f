package org.hawthornglade.app.check;

import org.hawthornglade.agent.AgentSettings;
import org.hawthornglade.core.plan.Intent;
import org.hawthornglade.entry.EntrySettings;
import org.hawthornglade.standin.StandinConfiguration;

/** Kind of a checked file, with the type that it is parsed as. */
public enum Role {
    ENTRY(EntrySettings.class),
    AGENT(AgentSettings.class),
    STANDIN(StandinConfiguration.class),
    INTENT(Intent.class);

    private final Class<?> type;

    Role(Class<?> type) {
        this.type = type;
    }

    Class<?> type() {
        return type;
    }
}
