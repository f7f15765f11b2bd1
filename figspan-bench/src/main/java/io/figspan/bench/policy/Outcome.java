package io.figspan.bench.policy;

import io.figspan.core.error.ProblemKind;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/** What one or more runs of the same scenario measured. */
final class Outcome {
    private static final long MAX_MICROS = 1_000_000_000L;

    final Map<LengthClass, Histogram> firstTokenMicros = new TreeMap<>();
    /** Time to first token over the time on an idle engine, in thousandths. */
    final Map<LengthClass, Histogram> idleMultiple = new TreeMap<>();

    final Map<LengthClass, Integer> offered = new TreeMap<>();
    final Map<LengthClass, Integer> admitted = new TreeMap<>();
    final Map<LengthClass, Integer> inTime = new TreeMap<>();
    final Map<ProblemKind, Integer> refusals = new TreeMap<>();
    final Histogram all = histogram();
    /** Time to first token of the short classes, by class and organisation. */
    final Map<LengthClass, List<Histogram>> byOrganisation = new TreeMap<>();

    final double[] offeredTokens = new double[Deployment.SHARES.length];
    final double[] servedTokens = new double[Deployment.SHARES.length];
    double wastedTokens;
    double hitTokens;
    double sharedTokens;
    double measuredSeconds;

    Outcome() {
        for (LengthClass lengthClass : LengthClass.values()) {
            firstTokenMicros.put(lengthClass, histogram());
            idleMultiple.put(lengthClass, histogram());
            offered.put(lengthClass, 0);
            admitted.put(lengthClass, 0);
            inTime.put(lengthClass, 0);
            byOrganisation.put(
                    lengthClass,
                    Stream.generate(Outcome::histogram)
                            .limit(Deployment.SHARES.length)
                            .toList());
        }
    }

    private static Histogram histogram() {
        return new Histogram(MAX_MICROS, 3);
    }

    void offered(Job job) {
        offered.merge(job.lengthClass, 1, Integer::sum);
        offeredTokens[job.organisation] += job.prompt.cost().promptTokens() + job.outputTokens;
    }

    void refused(Job job, ProblemKind kind) {
        refusals.merge(kind, 1, Integer::sum);
        admitted.merge(job.lengthClass, -1, Integer::sum);
    }

    void admitted(Job job) {
        admitted.merge(job.lengthClass, 1, Integer::sum);
    }

    void firstToken(Job job, long nowNanos) {
        long micros = Math.min(MAX_MICROS, (nowNanos - job.arrivedNanos) / 1_000);
        firstTokenMicros.get(job.lengthClass).recordValue(micros);
        all.recordValue(micros);
        byOrganisation.get(job.lengthClass).get(job.organisation).recordValue(micros);
        long tokens = job.prompt.cost().promptTokens();
        long idleNanos = Math.max(Engine.MIN_STEP_NANOS, tokens * Engine.TOKEN_NANOS);
        idleMultiple.get(job.lengthClass).recordValue(Math.min(MAX_MICROS, micros * 1_000_000 / idleNanos));
    }

    void finished(Job job) {
        inTime.merge(job.lengthClass, 1, Integer::sum);
        servedTokens[job.organisation] += job.prompt.cost().promptTokens() + job.outputTokens;
    }

    void add(Outcome other) {
        for (LengthClass lengthClass : LengthClass.values()) {
            firstTokenMicros.get(lengthClass).add(other.firstTokenMicros.get(lengthClass));
            idleMultiple.get(lengthClass).add(other.idleMultiple.get(lengthClass));
            offered.merge(lengthClass, other.offered.get(lengthClass), Integer::sum);
            admitted.merge(lengthClass, other.admitted.get(lengthClass), Integer::sum);
            inTime.merge(lengthClass, other.inTime.get(lengthClass), Integer::sum);
            for (int i = 0; i < offeredTokens.length; i++) {
                byOrganisation
                        .get(lengthClass)
                        .get(i)
                        .add(other.byOrganisation.get(lengthClass).get(i));
            }
        }
        other.refusals.forEach((kind, count) -> refusals.merge(kind, count, Integer::sum));
        all.add(other.all);
        for (int i = 0; i < offeredTokens.length; i++) {
            offeredTokens[i] += other.offeredTokens[i];
            servedTokens[i] += other.servedTokens[i];
        }
        wastedTokens += other.wastedTokens;
        hitTokens += other.hitTokens;
        sharedTokens += other.sharedTokens;
        measuredSeconds += other.measuredSeconds;
    }

    // ---- Figures ----

    double firstTokenMs(LengthClass lengthClass, double percentile) {
        return firstTokenMicros.get(lengthClass).getValueAtPercentile(percentile) / 1e3;
    }

    double multiple(LengthClass lengthClass, double percentile) {
        return idleMultiple.get(lengthClass).getValueAtPercentile(percentile) / 1e3;
    }

    /** Part of the admitted prompts above 32k tokens that finished before their deadline. */
    double longInTime() {
        int of = 0;
        int finished = 0;
        for (LengthClass lengthClass : LengthClass.values()) {
            if (!lengthClass.isShort()) {
                of += admitted.get(lengthClass);
                finished += inTime.get(lengthClass);
            }
        }
        return of == 0 ? 1 : (double) finished / of;
    }

    double admittedShare(LengthClass lengthClass) {
        int of = offered.get(lengthClass);
        return of == 0 ? 1 : (double) admitted.get(lengthClass) / of;
    }

    double inTimeShare(LengthClass lengthClass) {
        int of = admitted.get(lengthClass);
        return of == 0 ? 1 : (double) inTime.get(lengthClass) / of;
    }

    /** Prompt and output tokens per second of requests that finished before their deadline. */
    double goodputTokensPerSecond() {
        double sum = 0;
        for (double tokens : servedTokens) {
            sum += tokens;
        }
        return sum / measuredSeconds;
    }

    double hitRatio() {
        return sharedTokens == 0 ? 0 : hitTokens / sharedTokens;
    }

    /** Time to first token of one class over all organisations but one. */
    Histogram others(LengthClass lengthClass, int organisation) {
        Histogram sum = histogram();
        for (int i = 0; i < offeredTokens.length; i++) {
            if (i != organisation) {
                sum.add(byOrganisation.get(lengthClass).get(i));
            }
        }
        return sum;
    }

    /** Smallest part of its offered tokens that any organisation but one was served. */
    double worstServedShare(int organisation) {
        double worst = 1;
        for (int i = 0; i < offeredTokens.length; i++) {
            if (i != organisation) {
                worst = Math.min(worst, servedTokens[i] / Math.max(1, offeredTokens[i]));
            }
        }
        return worst;
    }
}
