package io.figspan.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.settings.SettingsManifest;
import io.figspan.settings.SettingsPart;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against flags, messages and exit codes that differ from what operators' scripts rely on. */
class CommandLineTest {
    private static final String FLEET =
            """
            [fleet]
            tokenKey = "0123456789abcdef0123456789abcdef"
            [fleet.roster]
            h1 = "az-1"
            [fleet.models.large]
            share = 1.0
            version = "v1"
            """;
    private static final String ACME =
            """
            [organisation.acme]
            share = 0.3
            [organisation.acme.service.chat]
            model = "large"
            [organisation.acme.service.chat.place.az-1]
            prompts.deadlineMs = 6000
            """;

    private static final List<String> OPERATOR_COMMANDS =
            List.of("settings check", "settings explain", "settings diff", "hosts", "status", "timeline");

    private record Output(ExitCode code, String out, String err) {}

    @TempDir
    Path directory;

    @BeforeEach
    void writeTrees() throws IOException {
        write("old/fleet.toml", FLEET);
        write("old/acme.toml", ACME);
        write("new/fleet.toml", FLEET.replace("0123", "9123"));
        write("new/acme.toml", ACME.replace("6000", "7000").replace("share = 0.3", "weight = 2"));
        write("bad/fleet.toml", FLEET.replace("roster", "rooster"));
    }

    @Test
    void aTypingMistakeNamesTheNearestWord() {
        Approvals.verify(Stream.of(
                        run("statsu"),
                        run("settings", "chekc"),
                        run("setings", "check"),
                        run("settings", "check", "--jsno", "x"),
                        run("status", "--hots=127.0.0.1:1"),
                        run("status", "-x"),
                        run("status"),
                        run("settings", "check"),
                        run("hosts", "--host", "127.0.0.1:1"),
                        run("timeline", "--host", "here", "--last", "1"),
                        run("settings", "explain", "acne/chat", "--file", path("old")),
                        run("settings", "explain", "acme/chta", "--file", path("old")),
                        run("settings", "check", path("missing.toml")))
                .map(output -> output.code() + " " + output.err())
                .collect(Collectors.joining())
                .replace(directory.toString(), "DIRECTORY"));
    }

    @Test
    void theHelpOfTheOperatorCommandsIsTheApprovedOne() {
        StringBuilder help = new StringBuilder();
        for (String name : OPERATOR_COMMANDS) {
            Stream<String> words = Stream.concat(Stream.of(name.split(" ", -1)), Stream.of("--help"));
            Output output = run(words.toArray(String[]::new));
            assertEquals(ExitCode.OK, output.code());
            help.append(output.out()).append('\n');
        }
        Approvals.verify(help);
    }

    @Test
    void settingsCommandsShowNoSecret() {
        Output check = run("settings", "check", path("old"));
        Output refused = run("settings", "check", path("bad"));
        Output explained = run("settings", "explain", "acme/chat/az-1", "--json", "--file", path("old"));
        Output diff = run("settings", "diff", path("old"), path("new"));
        assertEquals(ExitCode.OK, check.code());
        assertEquals(ExitCode.FAILED, refused.code());
        assertEquals(ExitCode.DIFFERENT, diff.code());
        assertEquals(
                ExitCode.OK, run("settings", "diff", path("old"), path("old")).code());
        String all = Stream.of(check, refused, explained, diff)
                .map(output -> output.out() + output.err())
                .collect(Collectors.joining("\n"));
        assertFalse(all.contains("123456789abcdef"), all);
        Approvals.verify(all.replace(directory.toString(), "DIRECTORY"));
    }

    @Test
    void theManifestPublishesTheFilesUnderTheirNames() {
        Output output = run("settings", "check", "--manifest", "8", path("old"));
        SettingsManifest manifest = SettingsManifest.fromJson(output.out());
        List<SettingsPart> parts = List.of(new SettingsPart("acme.toml", ACME), new SettingsPart("fleet.toml", FLEET));
        assertEquals(SettingsManifest.of(8, parts), manifest);
        assertEquals(
                "", run("settings", "check", "--manifest", "8", path("bad")).out());
        assertEquals(
                ExitCode.USAGE,
                run("settings", "check", "--manifest", "0", path("old")).code());
    }

    @Test
    void aFaultOfFigspanIsNotReportedAsAMistakeOfTheOperator() {
        Command failing = new Command() {
            private final CommonOptions common = new CommonOptions();

            @Override
            public String name() {
                return "fail";
            }

            @Override
            public String summary() {
                return "Fails.";
            }

            @Override
            public CommonOptions common() {
                return common;
            }

            @Override
            public ExitCode run(Console console) {
                throw new FigspanException(ProblemKind.INTERNAL, "fault", Location.of("test"));
            }
        };
        assertEquals(ExitCode.FAILED, run(List.of(failing), "fail").code());
    }

    private static Output run(String... args) {
        return run(Commands.all(), args);
    }

    private static Output run(List<Command> commands, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Console console = new Console(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        ExitCode code = new Main(commands, console).run(List.of(args));
        return new Output(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private String path(String name) {
        return directory.resolve(name).toString();
    }

    private void write(String name, String text) throws IOException {
        Files.createDirectories(directory.resolve(name).getParent());
        Files.writeString(directory.resolve(name), text);
    }
}
