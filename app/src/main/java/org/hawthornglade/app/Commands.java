package org.hawthornglade.app;

import java.util.List;

/** All commands. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        return List.of(new EntryCommand(), new AgentCommand(), new StandinCommand(), new LoadCommand());
    }
}
