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
import java.util.function.Function;
import java.util.stream.LongStream;

/** {@code bin/bench placing}: the placers on engines that work in passes, under bursts of short and of long prompts. */
@Parameters(commandDescription = "Compares placers on model engines that work in passes, in logical time")
public final class PlacingCommand implements BenchCommand {
    private static final double LENGTH_MS = 34_000;
    private static final double BURST_MS = 9_500;

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
        Map<String, Function<EngineProfile, Placer>> placers = new LinkedHashMap<>();
        placers.put("passes", profile -> new EnginePlacer(profile, new SplittableRandom(1)));
        if (naive) {
            placers.put("least-busy", profile -> new LeastBusyPlacer(new SplittableRandom(1)));
        }
        out.println("placer      seed  share  worst  busy   short on/late/refused/lost p50 p99   long   longest");
        placers.forEach((name, placer) -> {
            List<PlacingTally> tallies = LongStream.range(firstSeed, firstSeed + seeds)
                    .parallel()
                    .mapToObj(seed -> play(placer, seed))
                    .toList();
            for (int i = 0; i < tallies.size(); i++) {
                out.println(line(name, firstSeed + i, tallies.get(i)));
            }
            double share =
                    tallies.stream().mapToDouble(PlacingTally::share).average().orElse(0);
            double worst = tallies.stream()
                    .mapToDouble(PlacingTally::worstWindows)
                    .average()
                    .orElse(0);
            out.printf(Locale.ROOT, "%-11s mean  %.3f  %.3f%n", name, share, worst);
        });
        return true;
    }

    private PlacingTally play(Function<EngineProfile, Placer> placer, long seed) {
        return new PlacingPlay(
                        usersEngine(), engines, hosts, RequestClass.users(rate), alternatingBursts(), placer, seed)
                .play(LENGTH_MS);
    }

    private static String line(String name, long seed, PlacingTally tally) {
        StringBuilder line = new StringBuilder(String.format(
                Locale.ROOT,
                "%-11s %4d  %.3f  %.3f  %.2f",
                name,
                seed,
                tally.share(),
                tally.worstWindows(),
                tally.engineBusy()));
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
