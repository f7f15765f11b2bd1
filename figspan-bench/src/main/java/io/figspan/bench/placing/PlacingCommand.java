package io.figspan.bench.placing;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.figspan.bench.BenchCommand;
import io.figspan.policy.placing.EnginePlacer;
import io.figspan.policy.placing.LeastBusyPlacer;
import io.figspan.policy.placing.Placer;
import io.figspan.settings.gateway.EngineProfile;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/** {@code bin/bench placing}: the placers on engines that work in passes, under bursts of short and of long prompts. */
@Parameters(commandDescription = "Compares placers on model engines that work in passes, in logical time")
public final class PlacingCommand implements BenchCommand {
    private static final double LENGTH_MS = 34_000;
    private static final double BURST_MS = 9_500;
    private static final int ORGANISATIONS = 10;
    private static final int LARGE_ENGINES = 172;
    private static final int LARGE_HOSTS = 95;

    @Parameter(names = "--seeds", description = "Number of seeds, from 1 up")
    private int seeds = 8;

    @Parameter(names = "--first-seed", description = "First seed")
    private long firstSeed = 1;

    @Parameter(names = "--engines", description = "Number of engines")
    private int engines = 21;

    @Parameter(names = "--hosts", description = "Number of hosts")
    private int hosts = 6;

    @Parameter(names = "--rate", description = "Rate of requests, 1 for that of the larger deployment")
    private double rate = 1;

    @Parameter(names = "--large", description = "Plays the largest deployment: 172 engines and 95 hosts")
    private boolean large;

    @Parameter(names = "--cells", description = "Also plays hosts that use the engines of their own cell only")
    private boolean cells;

    @Parameter(
            names = "--greedy",
            description = "Also plays ten organisations, one of which sends this many times its usual load")
    private double greedy;

    @Parameter(names = "--naive", description = "Also plays the placer that takes the least busy engine")
    private boolean naive;

    @Parameter(names = "--help", help = true, description = "Prints this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    /** Engines like those of the users' deployments. */
    static EngineProfile usersEngine() {
        return new EngineProfile(11, 315_000, 51, 0.85, 0.00618, 0.00285, 177, 0.184, 2_048, 200, 0.05);
    }

    /** Engines like those of the largest deployment. */
    static EngineProfile largeEngine() {
        return new EngineProfile(7, 315_000, 80, 0.85, 0.00425, 0.00285, 177, 0.184, 2_048, 200, 0.05);
    }

    /** Bursts that alternate: of long prompts, of short ones, and of long ones again. */
    static List<Burst> alternatingBursts() {
        List<Burst> bursts = new ArrayList<>();
        double[] starts = {2_000, 12_500, 23_000};
        for (int i = 0; i < starts.length; i++) {
            boolean ofLong = i % 2 == 0;
            double end = starts[i] + BURST_MS;
            bursts.add(new Burst("short", starts[i], end, ofLong ? 0.35 : 2.5));
            bursts.add(new Burst("long", starts[i], end, ofLong ? 1.3 : 0.5));
            bursts.add(new Burst("longest", starts[i], end, ofLong ? 2.7 : 0.05));
        }
        return bursts;
    }

    @Override
    public boolean run(PrintStream out) {
        if (large) {
            engines = LARGE_ENGINES;
            hosts = LARGE_HOSTS;
        }
        Function<EngineProfile, Placer> passes = profile -> new EnginePlacer(profile, new SplittableRandom(1));
        Map<String, LongFunction<PlacingTally>> plays = new LinkedHashMap<>();
        plays.put("passes", seed -> newPlay(passes, seed).play(LENGTH_MS));
        if (cells) {
            plays.put("cells", seed -> newPlay(passes, seed).inCells().play(LENGTH_MS));
        }
        if (greedy > 0) {
            plays.put("unshared", seed -> newPlay(passes, seed).of(mix(false)).play(LENGTH_MS));
            plays.put("shared", seed -> newPlay(passes, seed).of(mix(true)).play(LENGTH_MS));
        }
        if (naive) {
            plays.put("least-busy", seed -> newPlay(profile -> new LeastBusyPlacer(new SplittableRandom(1)), seed)
                    .play(LENGTH_MS));
        }
        out.println(
                "placer      seed  share  worst  busy  messages  short on/late/refused/lost p50 p99   long   longest");
        plays.forEach((name, play) -> {
            long startNanos = System.nanoTime();
            List<PlacingTally> tallies = LongStream.range(firstSeed, firstSeed + seeds)
                    .parallel()
                    .mapToObj(play)
                    .toList();
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            for (int i = 0; i < tallies.size(); i++) {
                out.println(line(name, firstSeed + i, tallies.get(i)));
            }
            double share =
                    tallies.stream().mapToDouble(PlacingTally::share).average().orElse(0);
            double worst = tallies.stream()
                    .mapToDouble(PlacingTally::worstWindows)
                    .average()
                    .orElse(0);
            out.printf(Locale.ROOT, "%-11s mean  %.3f  %.3f  played in %d ms%n", name, share, worst, tookMs);
            if (name.endsWith("shared")) {
                printOrganisations(out, name, tallies);
            }
        });
        return true;
    }

    private OrganisationMix mix(boolean areNamed) {
        return new OrganisationMix(ORGANISATIONS, greedy, 1, 0, LENGTH_MS, areNamed);
    }

    private PlacingPlay newPlay(Function<EngineProfile, Placer> placer, long seed) {
        EngineProfile engine = large ? largeEngine() : usersEngine();
        List<RequestClass> classes = large ? RequestClass.large(rate) : RequestClass.users(rate);
        return new PlacingPlay(engine, engines, hosts, classes, alternatingBursts(), placer, seed);
    }

    private static void printOrganisations(PrintStream out, String name, List<PlacingTally> tallies) {
        double greedyShare = tallies.stream()
                .mapToDouble(tally -> tally.of(OrganisationMix.GREEDY).share())
                .average()
                .orElse(0);
        double otherShare = tallies.stream()
                .mapToDouble(tally -> tally.shareWithout(OrganisationMix.GREEDY))
                .average()
                .orElse(0);
        out.printf(Locale.ROOT, "%-11s share of the greedy one %.3f, of others %.3f%n", name, greedyShare, otherShare);
    }

    private static String line(String name, long seed, PlacingTally tally) {
        StringBuilder line = new StringBuilder(String.format(
                Locale.ROOT,
                "%-11s %4d  %.3f  %.3f  %.2f  %d",
                name,
                seed,
                tally.share(),
                tally.worstWindows(),
                tally.engineBusy(),
                tally.messages()));
        for (String requestClass : List.of("short", "long", "longest")) {
            PlacingTally.ClassTally of = tally.of(requestClass);
            line.append(String.format(
                    Locale.ROOT,
                    "   %d/%d/%d/%d %.0f %.0f %.2f",
                    of.count(PlacingPlay.Outcome.ON_TIME),
                    of.count(PlacingPlay.Outcome.LATE),
                    of.count(PlacingPlay.Outcome.REFUSED),
                    of.count(PlacingPlay.Outcome.LOST),
                    of.firstTokenMs(0.5),
                    of.firstTokenMs(0.99),
                    of.share()));
        }
        return line.toString();
    }
}
