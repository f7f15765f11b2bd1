package io.figspan.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.util.NearestName;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** Entry point of {@code figspan}: selects the command, parses its flags and runs it. */
public final class Main {
    private static final String PROGRAM = "figspan";

    /** A flag rather than a negative number or a single dash. */
    private static final Pattern FLAG = Pattern.compile("--?[A-Za-z]");

    /** Kinds of faults that come from what was typed. */
    private static final Set<ProblemKind> USAGE_KINDS = EnumSet.of(ProblemKind.USAGE, ProblemKind.INVALID_VALUE);

    private final List<Command> commands;
    private final Console console;

    Main(List<Command> commands, Console console) {
        this.commands = commands;
        this.console = console;
    }

    public static void main(String[] args) {
        ExitCode code = new Main(Commands.all(), Console.system()).run(List.of(args));
        System.exit(code.code());
    }

    ExitCode run(List<String> args) {
        try {
            return dispatch(args);
        } catch (FigspanException e) {
            console.error(PROGRAM + ": " + e.getMessage());
            return USAGE_KINDS.contains(e.kind()) ? ExitCode.USAGE : ExitCode.FAILED;
        } catch (ParameterException e) {
            console.error(PROGRAM + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private ExitCode dispatch(List<String> args) {
        if (args.isEmpty() || isHelp(args.get(0))) {
            printCommands();
            return args.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
        }
        Optional<Command> selected = select(args);
        if (selected.isEmpty()) {
            return answerUnselected(args);
        }
        Command command = selected.get();
        List<String> flags = args.subList(words(command.name()).size(), args.size());
        List<String> checked = checkFlags(listFlags(command), flags);
        JCommander parser = parserOf(command);
        parser.parse(checked.toArray(new String[0]));
        if (command.common().help()) {
            printHelp(command, parser);
            return ExitCode.OK;
        }
        return command.run(console);
    }

    // --- Selection of the command

    /** The command with the most words that the arguments start with. */
    private Optional<Command> select(List<String> args) {
        return commands.stream()
                .filter(command -> startsWith(args, words(command.name())))
                .max(Comparator.comparingInt(command -> words(command.name()).size()));
    }

    /** Lists the commands of a group such as {@code settings}, or names the command that was likely meant. */
    private ExitCode answerUnselected(List<String> args) {
        String group = args.get(0) + " ";
        boolean isGroup = commands.stream().anyMatch(command -> command.name().startsWith(group));
        boolean asksForHelp = isGroup && (args.size() == 1 || isHelp(args.get(1)));
        if (asksForHelp) {
            printCommands();
            return args.size() == 1 ? ExitCode.USAGE : ExitCode.OK;
        }
        String typed = isGroup ? group + args.get(1) : args.get(0);
        throw usage("unknown command '" + typed + "'" + suggestion(nearestCommand(typed, args)));
    }

    private Optional<String> nearestCommand(String typed, List<String> args) {
        List<String> known = commands.stream()
                .filter(command -> !command.isHidden())
                .map(Command::name)
                .toList();
        Optional<String> nearest = NearestName.suggest(typed, known);
        if (nearest.isPresent() || args.size() < 2) {
            return nearest;
        }
        return NearestName.suggest(args.get(0) + " " + args.get(1), known);
    }

    private static boolean startsWith(List<String> args, List<String> words) {
        return args.size() >= words.size() && args.subList(0, words.size()).equals(words);
    }

    private static List<String> words(String name) {
        return Arrays.asList(name.split(" ", -1));
    }

    private static boolean isHelp(String arg) {
        return arg.equals("--help") || arg.equals("-h") || arg.equals("help");
    }

    // --- Flags

    private static JCommander parserOf(Command command) {
        return JCommander.newBuilder()
                .addObject(command)
                .programName(PROGRAM + " " + command.name())
                .expandAtSign(false)
                .build();
    }

    /** The flags of a command by name. JCommander lists them only after a parse, so this uses a parser of its own. */
    private static Map<String, ParameterDescription> listFlags(Command command) {
        JCommander parser = parserOf(command);
        parser.parseWithoutValidation();
        Map<String, ParameterDescription> known = new HashMap<>();
        for (ParameterDescription parameter : parser.getParameters()) {
            for (String name : parameter.getParameter().names()) {
                known.put(name, parameter);
            }
        }
        return known;
    }

    /** Splits {@code --flag=value} and refuses unknown flags, naming the nearest one. */
    private static List<String> checkFlags(Map<String, ParameterDescription> known, List<String> args) {
        List<String> checked = new ArrayList<>();
        boolean isValue = false;
        for (String arg : args) {
            if (isValue || !FLAG.matcher(arg).lookingAt()) {
                checked.add(arg);
                isValue = false;
                continue;
            }
            int equals = arg.indexOf('=');
            String name = equals < 0 ? arg : arg.substring(0, equals);
            ParameterDescription parameter = known.get(name);
            if (parameter == null) {
                throw usage("unknown flag '" + name + "'" + suggestion(NearestName.suggest(name, known.keySet())));
            }
            checked.add(name);
            if (equals >= 0) {
                checked.add(arg.substring(equals + 1));
            }
            isValue = equals < 0 && takesValue(parameter);
        }
        return checked;
    }

    private static boolean takesValue(ParameterDescription parameter) {
        Class<?> type = parameter.getParameterized().getType();
        return type != boolean.class && type != Boolean.class;
    }

    // --- Help

    private void printCommands() {
        console.line("Usage: " + PROGRAM + " COMMAND [FLAGS]");
        console.line("");
        for (Command command : commands) {
            if (!command.isHidden()) {
                console.line(String.format("  %-18s %s", command.name(), command.summary()));
            }
        }
        console.line("");
        console.line("Each command has --help.");
    }

    private void printHelp(Command command, JCommander parser) {
        console.line(command.summary());
        StringBuilder usage = new StringBuilder();
        parser.getUsageFormatter().usage(usage);
        console.line(usage.toString().stripTrailing());
        console.line("  Exit codes:");
        for (ExitCode code : command.exitCodes()) {
            console.line("    " + code.code() + "  " + code.meaning());
        }
    }

    private static String suggestion(Optional<String> nearest) {
        return nearest.map(name -> "; the nearest is '" + name + "'").orElse("");
    }

    private static FigspanException usage(String detail) {
        return new FigspanException(ProblemKind.USAGE, detail, Location.of("command line"));
    }
}
