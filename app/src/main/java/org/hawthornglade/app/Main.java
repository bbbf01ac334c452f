package org.hawthornglade.app;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hawthornglade.app.gateway.GatewayCommand;

/** Starts the command named by the first argument. */
public final class Main {
    private static final List<String> HELP = List.of("help", "--help", "-h");

    private Main() {}

    /** Runs a command and, unless it is a long-running role, ends the process with its exit code. */
    public static void main(String[] args) {
        // Traffic keeps arriving while an entry restarts, so it skips the command line parser to start faster.
        boolean gateway = args.length == 1 && args[0].equals(GatewayCommand.NAME);
        ExitCode code = gateway ? run(new GatewayCommand(), System.out, System.err) : run(args, System.out, System.err);
        if (code != ExitCode.RUNNING) {
            System.exit(code.number());
        }
    }

    /** Runs a command. */
    static ExitCode run(String[] args, PrintStream out, PrintStream err) {
        Map<String, Command> commands = new LinkedHashMap<>();
        JCommander parser = JCommander.newBuilder().programName("hawthornglade").build();
        for (Command command : Commands.all()) {
            commands.put(command.name(), command);
            parser.addCommand(command.name(), command);
        }
        if (args.length == 0 || HELP.contains(args[0])) {
            out.println(usage(parser, args.length > 1 ? args[1] : null));
            return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        if (args.length > 1 && HELP.contains(args[1]) && commands.containsKey(args[0])) {
            out.println(usage(parser, args[0]));
            return ExitCode.OK;
        }
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            err.println(e.getMessage());
            err.println("Try: hawthornglade help");
            return ExitCode.USAGE;
        }
        return run(commands.get(parser.getParsedCommand()), out, err);
    }

    private static ExitCode run(Command command, PrintStream out, PrintStream err) {
        try {
            return command.run(out);
        } catch (Exception e) {
            err.println(command.name() + ": " + e.getMessage());
            return ExitCode.FAILED;
        }
    }

    private static String usage(JCommander parser, String command) {
        StringBuilder text = new StringBuilder();
        if (command != null && parser.getCommands().containsKey(command)) {
            parser.getUsageFormatter().usage(command, text);
        } else {
            parser.getUsageFormatter().usage(text);
        }
        return text.toString();
    }
}
