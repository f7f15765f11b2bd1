package io.figspan.cli.caller;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.figspan.cli.Command;
import io.figspan.cli.CommonOptions;
import io.figspan.cli.Console;
import io.figspan.cli.ExitCode;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.standin.StandinFleet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** {@code figspan prompt}: sends one prompt and prints the answer as it arrives. */
public final class PromptCommand implements Command {
    private static final int CHARS_PER_TOKEN = 4;

    @Parameter(
            names = {"--host", "--hosts"},
            required = true,
            description = "addresses of entry hosts, ADDRESS:PORT,...")
    private String hosts;

    @Parameter(names = "--organisation", required = true, description = "organisation to send as")
    private String organisation;

    @Parameter(names = "--service", description = "service in the settings")
    private String service = "prompts";

    @Parameter(names = "--model", description = "model to ask for")
    private String model = StandinFleet.MODEL;

    @Parameter(names = "--text", description = "the prompt")
    private String text = "";

    @Parameter(names = "--file", description = "file with the prompt, in place of --text")
    private String file = "";

    @Parameter(names = "--max-tokens", description = "tokens to generate")
    private int maxTokens = 64;

    @Parameter(names = "--deadline-ms", description = "time for the whole answer")
    private long deadlineMs = 60_000;

    @Parameter(names = "--priority", description = "interactive, standard or batch")
    private String priority = "interactive";

    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @Override
    public String name() {
        return "prompt";
    }

    @Override
    public String summary() {
        return "Send one prompt and print the answer as it arrives";
    }

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public Set<ExitCode> exitCodes() {
        return EnumSet.of(ExitCode.OK, ExitCode.FAILED, ExitCode.USAGE, ExitCode.UNREACHABLE);
    }

    @Override
    public ExitCode run(Console console) {
        String prompt = readPrompt();
        PromptCall.Ask ask = new PromptCall.Ask(
                organisation,
                service,
                "prompt-" + UUID.randomUUID(),
                model,
                prompt,
                (prompt.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN,
                maxTokens,
                deadlineMs,
                priority);
        return CallerSession.run(http -> {
            EntryHosts entry = new EntryHosts(http, organisation, Addresses.parse(hosts));
            PromptCall call = new PromptCall(http, entry, ask, token -> {
                if (!common.json()) {
                    console.out().print(token);
                }
            });
            PromptResult result = call.run("").blockingGet();
            report(console, call, result);
            return switch (result.kind()) {
                case ANSWERED -> ExitCode.OK;
                case LOST -> ExitCode.UNREACHABLE;
                default -> ExitCode.FAILED;
            };
        });
    }

    private void report(Console console, PromptCall call, PromptResult result) {
        long firstTokenMs = TimeUnit.NANOSECONDS.toMillis(result.firstTokenNanos());
        if (common.json()) {
            console.json(JsonNodeFactory.instance
                    .objectNode()
                    .put("outcome", result.kind().name().toLowerCase(java.util.Locale.ROOT))
                    .put("detail", result.detail())
                    .put("firstTokenMs", firstTokenMs)
                    .put("resumes", result.resumes())
                    .put("answer", call.answer()));
            return;
        }
        console.line("");
        console.error(
                result.kind() == PromptResult.Kind.ANSWERED
                        ? "first token after " + firstTokenMs + " ms, " + result.resumes() + " resumes"
                        : result.kind() + ": " + result.detail());
    }

    private String readPrompt() {
        if (file.isEmpty() == text.isEmpty()) {
            throw new FigspanException(
                    ProblemKind.USAGE, "exactly one of --text and --file is needed", Location.of("prompt"));
        }
        try {
            return file.isEmpty() ? text : Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new FigspanException(ProblemKind.USAGE, "the file cannot be read", Location.of(file), e);
        }
    }
}
