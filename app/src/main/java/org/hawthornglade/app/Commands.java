package org.hawthornglade.app;

import java.util.ArrayList;
import java.util.List;
import org.hawthornglade.app.caller.CallCommand;
import org.hawthornglade.app.caller.ChatCommand;
import org.hawthornglade.app.caller.GetCommand;
import org.hawthornglade.app.check.CheckCommand;
import org.hawthornglade.app.gateway.GatewayCommand;
import org.hawthornglade.app.gateway.RehearsalCommand;
import org.hawthornglade.app.logs.TraceCommand;
import org.hawthornglade.app.operator.ConfirmCommand;
import org.hawthornglade.app.operator.DrainCommand;
import org.hawthornglade.app.operator.ExplainCommand;
import org.hawthornglade.app.operator.PlanCommand;
import org.hawthornglade.app.operator.StatusCommand;
import org.hawthornglade.app.operator.TimelineCommand;

/** Lists all commands, in the order of the help text. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        List<Command> commands = new ArrayList<>();
        commands.add(new EntryCommand());
        commands.add(new GatewayCommand());
        commands.add(new RehearsalCommand());
        commands.add(new AgentCommand());
        commands.add(new StandinCommand());
        commands.add(new ChatCommand());
        commands.add(new CallCommand());
        commands.add(new GetCommand());
        commands.add(new LoadCommand());
        commands.add(new PlanCommand());
        commands.add(new ConfirmCommand());
        commands.add(new StatusCommand());
        commands.add(new ExplainCommand());
        commands.add(new DrainCommand());
        commands.add(new TimelineCommand());
        commands.add(new TraceCommand());
        commands.add(new CheckCommand());
        commands.add(new ExperimentCommand());
        commands.add(new EmulateCommand());
        return commands;
    }
}
