package io.figspan.cli.caller;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import io.figspan.cli.Command;
import io.figspan.cli.CommonOptions;
import io.figspan.cli.Console;
import io.figspan.cli.ExitCode;
import io.figspan.standin.StandinFleet;
import io.figspan.standin.engine.Answers;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** {@code figspan load}: sends prompts and orders, checks each answer, and compares orders with the record of runs. */
public final class LoadCommand implements Command {
    /** Bounds of one run. */
    private static final int MAX_ITEMS = 100_000;

    private static final int MAX_SECONDS = 600;
    private static final long PROGRESS_SECONDS = 5;

    @Parameter(
            names = {"--host", "--hosts"},
            required = true,
            description = "addresses of entry hosts, ADDRESS:PORT,...")
    private String hosts;

    @Parameter(names = "--organisation", description = "organisations to send as, separated by commas")
    private String organisations = "driftglass,brisbane";

    @Parameter(names = "--model", description = "model to ask for")
    private String model = StandinFleet.MODEL;

    @Parameter(names = "--prompts", description = "number of prompts")
    private int prompts = 100;

    @Parameter(names = "--orders", description = "number of orders")
    private int orders = 50;

    @Parameter(names = "--seconds", description = "time over which to send them")
    private int seconds = 10;

    @Parameter(names = "--concurrency", description = "requests at once")
    private int concurrency = 64;

    @Parameter(names = "--max-tokens", description = "tokens to generate for each prompt")
    private int maxTokens = 48;

    @Parameter(names = "--deadline-ms", description = "deadline of each prompt and order")
    private long deadlineMs = 20_000;

    @Parameter(
            names = "--services",
            description = "control addresses of the stand-in services, for their record of runs")
    private String services = "";

    @Parameter(names = "--engines", description = "control addresses of the stand-in engines, for the holds they have")
    private String engines = "";

    @Parameter(names = "--seed", description = "seed of the prompts")
    private long seed = 1;

    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    private final List<PromptResult> promptResults = new ArrayList<>();
    private final List<OrderResult> orderResults = new ArrayList<>();

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "Send prompts and orders, check each answer and print a table";
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
        boolean inBounds = prompts >= 0
                && orders >= 0
                && prompts + orders <= MAX_ITEMS
                && seconds >= 1
                && seconds <= MAX_SECONDS
                && concurrency >= 1;
        if (!inBounds) {
            console.error("at most " + MAX_ITEMS + " prompts and orders, within 1 to " + MAX_SECONDS + " seconds");
            return ExitCode.USAGE;
        }
        return CallerSession.run(http -> {
            send(console, http);
            RunRecord record = new RunRecord(http, Addresses.parse(services), Addresses.parse(engines));
            LoadSummary summary = LoadSummary.of(promptResults, orderResults, record.read(), record.awaitNoHolds());
            summary.print(console, common.json());
            return summary.allPromisesHeld() ? ExitCode.OK : ExitCode.FAILED;
        });
    }

    private void send(Console console, CallerHttp http) {
        List<String> names = com.google.common.base.Splitter.on(',').splitToList(organisations);
        List<EntryHosts> entries = names.stream()
                .map(name -> new EntryHosts(http, name, Addresses.parse(hosts)))
                .toList();
        LoadPlan plan = LoadPlan.of(prompts, orders, seed);
        long intervalMicros =
                TimeUnit.SECONDS.toMicros(seconds) / Math.max(1, plan.items().size());
        Progress progress = new Progress(console, plan.items().size());
        Flowable.intervalRange(
                        0, plan.items().size(), 0, Math.max(1, intervalMicros), TimeUnit.MICROSECONDS, http.scheduler())
                .onBackpressureBuffer(MAX_ITEMS)
                .flatMapSingle(
                        index -> {
                            LoadPlan.Item item = plan.items().get(index.intValue());
                            int chosen = item.number() % names.size();
                            return item.isOrder()
                                    ? order(http, entries.get(chosen), names.get(chosen), item)
                                    : prompt(http, entries.get(chosen), names.get(chosen), item);
                        },
                        false,
                        concurrency)
                .doOnNext(done -> progress.step())
                .blockingSubscribe();
    }

    private Single<Boolean> prompt(CallerHttp http, EntryHosts entry, String organisation, LoadPlan.Item item) {
        String text = PromptText.of(seed * MAX_ITEMS + item.number(), item.promptTokens());
        PromptCall.Ask ask = new PromptCall.Ask(
                organisation,
                "prompts",
                "load-" + seed + "-" + item.number(),
                model,
                text,
                item.promptTokens(),
                maxTokens,
                item.promptTokens() > 100_000 ? 2 * deadlineMs : deadlineMs,
                "standard");
        return new PromptCall(http, entry, ask, token -> {})
                .run(Answers.answer(text, maxTokens))
                .map(promptResults::add);
    }

    private Single<Boolean> order(CallerHttp http, EntryHosts entry, String organisation, LoadPlan.Item item) {
        String service = "orders-"
                + (1 + item.number() % Math.max(1, Addresses.parse(services).size()));
        OrderCall.Ask ask = new OrderCall.Ask(
                organisation, service, "order-" + seed + "-" + item.number(), Math.min(deadlineMs, 3_000));
        return new OrderCall(http, entry, ask).run().map(orderResults::add);
    }

    /** Prints how far the run is, at most once in {@link #PROGRESS_SECONDS}. */
    private static final class Progress {
        private final Console console;
        private final int total;
        private int done;
        private long printedNanos = System.nanoTime();

        Progress(Console console, int total) {
            this.console = console;
            this.total = total;
        }

        void step() {
            done++;
            boolean due = System.nanoTime() - printedNanos > TimeUnit.SECONDS.toNanos(PROGRESS_SECONDS);
            if (due || done == total) {
                printedNanos = System.nanoTime();
                console.error("load: " + done + " of " + total + " finished");
            }
        }
    }
}
