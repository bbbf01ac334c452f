package org.hawthornglade.app;

import java.util.List;
import org.hawthornglade.app.caller.CallCommand;
import org.hawthornglade.app.caller.ChatCommand;

/** All commands. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        return List.of(
                new EntryCommand(),
                new AgentCommand(),
                new StandinCommand(),
                new LoadCommand(),
                new ChatCommand(),
                new CallCommand());
    }
}
