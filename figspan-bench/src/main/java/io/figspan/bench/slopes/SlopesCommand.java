package io.figspan.bench.slopes;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.figspan.bench.BenchCommand;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.policy.entry.EntryHost;
import io.figspan.policy.entry.EntryList;
import io.figspan.policy.subset.EngineLocation;
import io.figspan.policy.subset.SubsetPolicy;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** {@code bin/bench slopes}: what each protocol between hosts costs one host, by fleet size, in logical time. */
@Parameters(commandDescription = "Measures state, messages, bytes and processor time of the cluster protocols by size")
public final class SlopesCommand implements BenchCommand {
    private static final int REST_SECONDS = 60;
    private static final int CHURN_STEPS = 9;
    private static final int CHURN_STEP_SECONDS = 10;
    private static final int SETTLE_SECONDS = 20;
    private static final int MAX_SETTLE_WINDOWS = 40;

    /** A window with at least this share of the bytes of the one before is taken as settled. */
    private static final double SETTLED_SHARE = 0.99;

    private static final int CHANGES = 6;
    private static final int CHANGE_SECONDS = 5;
    private static final int LOAN_SECONDS = 10;
    private static final int JOIN_LIMIT_SECONDS = 300;
    private static final int CHOICES = 200;
    private static final int ZONES = 5;

    /** Runners for each entry host at the design scale: 630 for 400. */
    private static final double RUNNERS_PER_HOST = 630.0 / 400;

    /** Settings changes for each second at the design scale: 870 a day. */
    private static final double CHANGES_PER_SECOND = 870.0 / 86_400;

    /** IPv4 and TCP headers with timestamps for each frame, and a bare acknowledgement for every second one. */
    private static final double HEADER_BYTES = 52 * 1.5;

    @Parameter(names = "--sizes", description = "Fleet sizes, at least four")
    private List<Integer> sizes = List.of(25, 50, 100, 200, 400);

    @Parameter(names = "--seed", description = "Seed of the model")
    private long seed = 1;

    @Parameter(names = "--part-bytes", description = "Size of the settings part in which one line changes")
    private int partBytes = 100_000;

    @Parameter(names = "--help", help = true, description = "Prints this help")
    private boolean help;

    /** Figures of one size, each for one host. */
    private static final class Figures {
        private double memberStateBytes;
        private double restMessages;
        private double restBytes;
        private double restWireBytes;
        private double restMicros;
        private double churnBytes;
        private double churnWireBytes;
        private double churnMicros;
        private double changeBytes;
        private double changeMicros;
        private double changeReachMs;
        private double loanBytes;
        private double loanMicros;
        private double entryListMicros;
        private double subsetMicros;
        private double settingsStateBytes;
    }

    @Override
    public boolean help() {
        return help;
    }

    @Override
    public boolean run(PrintStream out) {
        if (sizes.size() < 4) {
            throw new IllegalArgumentException("--sizes needs at least four sizes for a fit with an error");
        }
        measure(sizes.get(0));
        double referenceNanos = ReferenceOperation.measureNanos();
        List<Figures> figures = new ArrayList<>();
        for (int size : sizes) {
            figures.add(measure(size));
        }
        out.printf(
                Locale.ROOT,
                "Logical time, seed %d; settings part of %d bytes; reference operation (SHA-256 of 1 KiB): %.0f ns%n%n",
                seed,
                partBytes,
                referenceNanos);
        print(out, figures, referenceNanos);
        return true;
    }

    private Figures measure(int size) {
        Figures figures = new Figures();
        long emptyHeap = HeapMeter.usedBytes();
        FleetModel model = new FleetModel(size, seed);
        join(model, size);
        figures.memberStateBytes = (double) (HeapMeter.usedBytes() - emptyHeap) / size;
        model.takeTotals();
        model.run(REST_SECONDS);
        FleetModel.Totals rest = model.takeTotals();
        double hostSeconds = (double) size * REST_SECONDS;
        figures.restMessages = rest.messages() / hostSeconds;
        figures.restBytes = rest.bytes() / hostSeconds;
        figures.restWireBytes = wireBytes(rest) / hostSeconds;
        figures.restMicros = micros(rest) / hostSeconds;
        measureChurn(model, size, figures);
        measureChanges(model, size, figures);
        measureLoans(model, size, figures);
        figures.settingsStateBytes = (double) (HeapMeter.usedBytes() - emptyHeap) / size - figures.memberStateBytes;
        measureChoices(size, figures);
        return figures;
    }

    private static void join(FleetModel model, int size) {
        for (int second = 0; second < JOIN_LIMIT_SECONDS && !model.viewsAreComplete(); second++) {
            model.run(1);
        }
        if (!model.viewsAreComplete()) {
            throw new IllegalStateException(size + " hosts have not found each other in " + JOIN_LIMIT_SECONDS + " s");
        }
        settle(model);
    }

    /** Runs until the bytes of a window no longer fall, so that the news of former steps has been passed on. */
    private static void settle(FleetModel model) {
        model.takeTotals();
        long before = Long.MAX_VALUE;
        for (int window = 0; window < MAX_SETTLE_WINDOWS; window++) {
            model.run(SETTLE_SECONDS);
            long bytes = model.takeTotals().bytes();
            if (bytes > before * SETTLED_SHARE) {
                return;
            }
            before = bytes;
        }
    }

    private static void measureChurn(FleetModel model, int size, Figures figures) {
        for (int step = 0; step < CHURN_STEPS; step++) {
            model.restartOne();
            model.run(CHURN_STEP_SECONDS);
        }
        FleetModel.Totals churn = model.takeTotals();
        double hostSeconds = (double) size * CHURN_STEPS * CHURN_STEP_SECONDS;
        figures.churnBytes = churn.bytes() / hostSeconds;
        figures.churnWireBytes = wireBytes(churn) / hostSeconds;
        figures.churnMicros = micros(churn) / hostSeconds;
        settle(model);
    }

    private void measureChanges(FleetModel model, int size, Figures figures) {
        model.publishAndMeasureMs(1, partBytes);
        settle(model);
        double slowestMs = 0;
        FleetModel.Totals sum = new FleetModel.Totals(0, 0, 0, 0);
        for (int change = 0; change < CHANGES; change++) {
            double reachMs = model.publishAndMeasureMs(2 + change, partBytes);
            slowestMs = reachMs < 0 ? Double.NaN : Math.max(slowestMs, reachMs);
            FleetModel.Totals step = model.takeTotals();
            sum = new FleetModel.Totals(
                    sum.messages() + step.messages(),
                    sum.bytes() + step.bytes(),
                    sum.processorNanos() + step.processorNanos(),
                    0);
        }
        double restSeconds = CHANGE_SECONDS;
        double changes = (double) size * CHANGES;
        figures.changeBytes = wireBytes(sum) / changes - figures.restWireBytes * restSeconds;
        figures.changeMicros = micros(sum) / changes - figures.restMicros * restSeconds;
        figures.changeReachMs = slowestMs;
    }

    private static void measureLoans(FleetModel model, int size, Figures figures) {
        for (int second = 0; second < LOAN_SECONDS; second++) {
            model.askForLoansEverywhere();
            model.run(1);
        }
        FleetModel.Totals loans = model.takeTotals();
        double count = (double) size * LOAN_SECONDS;
        figures.loanBytes = wireBytes(loans) / count - figures.restWireBytes;
        figures.loanMicros = micros(loans) / count - figures.restMicros;
    }

    private static void measureChoices(int size, Figures figures) {
        List<EntryHost> hosts = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            hosts.add(new EntryHost(HostId.of("host-" + i), AvailabilityZoneId.of("az-" + i % ZONES)));
        }
        List<EngineLocation> runners = new ArrayList<>();
        for (int i = 0; i < size * RUNNERS_PER_HOST; i++) {
            runners.add(
                    new EngineLocation(BackendServerId.of("runner-" + i), AvailabilityZoneId.of("az-" + i % ZONES)));
        }
        int chosen = 0;
        long start = System.nanoTime();
        for (int i = 0; i < CHOICES; i++) {
            chosen += EntryList.choose(OrganisationId.of("organisation-" + i), 0.01, hosts)
                    .size();
        }
        long middle = System.nanoTime();
        for (int i = 0; i < CHOICES; i++) {
            chosen +=
                    SubsetPolicy.DEFAULT.choose(HostId.of("host-" + i), runners).size();
        }
        long end = System.nanoTime();
        if (chosen == 0) {
            throw new IllegalStateException("nothing was chosen");
        }
        figures.entryListMicros = (middle - start) / 1e3 / CHOICES;
        figures.subsetMicros = (end - middle) / 1e3 / CHOICES;
    }

    private void print(PrintStream out, List<Figures> figures, double referenceNanos) {
        int[] columns = sizes.stream().mapToInt(Integer::intValue).toArray();
        SlopeTable table = new SlopeTable(columns);
        double perReference = 1_000 / referenceNanos;
        add(table, figures, "membership: state, with queues", "bytes", f -> f.memberStateBytes);
        add(table, figures, "membership at rest: messages sent", "1/s", f -> f.restMessages);
        add(table, figures, "membership at rest: frame bytes sent", "bytes/s", f -> f.restBytes);
        add(table, figures, "membership at rest: sent, with TCP/IP", "bytes/s", f -> f.restWireBytes);
        add(table, figures, "membership at rest: processor", "µs/s", f -> f.restMicros);
        add(table, figures, "membership at rest: processor", "reference/s", f -> f.restMicros * perReference);
        add(table, figures, "one restart each 10 s: frame bytes sent", "bytes/s", f -> f.churnBytes);
        add(table, figures, "one restart each 10 s: sent, with TCP/IP", "bytes/s", f -> f.churnWireBytes);
        add(table, figures, "one restart each 10 s: processor", "µs/s", f -> f.churnMicros);
        add(table, figures, "one settings change: sent, with TCP/IP", "bytes", f -> f.changeBytes);
        add(table, figures, "870 changes a day: sent", "bytes/s", f -> f.changeBytes * CHANGES_PER_SECOND);
        add(table, figures, "one settings change: processor", "µs", f -> f.changeMicros);
        add(table, figures, "one settings change: processor", "reference", f -> f.changeMicros * perReference);
        add(table, figures, "one settings change: slowest of 6 to reach all", "ms", f -> f.changeReachMs);
        add(table, figures, "settings: state of 8 versions", "bytes", f -> f.settingsStateBytes);
        add(table, figures, "one loan: sent by both, with TCP/IP", "bytes", f -> f.loanBytes);
        add(table, figures, "one loan: processor of both", "µs", f -> f.loanMicros);
        add(table, figures, "entry list of one organisation: processor", "µs", f -> f.entryListMicros);
        add(table, figures, "entry list: processor", "reference", f -> f.entryListMicros * perReference);
        add(table, figures, "subset of one host: processor", "µs", f -> f.subsetMicros);
        add(table, figures, "subset: processor", "reference", f -> f.subsetMicros * perReference);
        table.print(out);
    }

    private static void add(
            SlopeTable table,
            List<Figures> figures,
            String figure,
            String unit,
            java.util.function.ToDoubleFunction<Figures> value) {
        table.add(figure, unit, figures.stream().mapToDouble(value).toArray());
    }

    private static double wireBytes(FleetModel.Totals totals) {
        return totals.bytes() + totals.messages() * HEADER_BYTES;
    }

    private static double micros(FleetModel.Totals totals) {
        return (double) totals.processorNanos() / TimeUnit.MICROSECONDS.toNanos(1);
    }
}
