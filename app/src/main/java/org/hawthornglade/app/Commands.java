package org.hawthornglade.app;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.app.caller.CallCommand;
import org.hawthornglade.app.caller.ChatCommand;

/** All commands, in the order in which help lists them. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        List<Command> commands = new ArrayList<>();
        commands.add(new EntryCommand());
        commands.add(new AgentCommand());
        commands.add(new StandinCommand());
        commands.add(new ChatCommand());
        commands.add(new CallCommand());
        commands.add(new LoadCommand());
        return commands;
    }
}
