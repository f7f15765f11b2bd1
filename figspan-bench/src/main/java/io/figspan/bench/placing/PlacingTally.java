package io.figspan.bench.placing;

import io.figspan.bench.placing.PlacingPlay.Outcome;
import io.figspan.core.id.OrganisationId;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What callers got. */
final class PlacingTally {
    private static final double WINDOW_MS = 2_000;

    private final Map<String, ClassTally> classes = new TreeMap<>();
    private final Map<OrganisationId, ClassTally> organisations = new TreeMap<>();
    private final Map<Integer, double[]> windows = new TreeMap<>();
    private double engineBusy;
    private long messages;

    /** The outcomes of one kind of request. */
    static final class ClassTally {
        final Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);
        final List<Double> firstTokenMs = new ArrayList<>();
        double earned;
        double owed;

        private void add(double earnedWorth, double owedWorth, Outcome outcome, double msToFirstToken) {
            counts.merge(outcome, 1, Integer::sum);
            earned += earnedWorth;
            owed += owedWorth;
            if (!Double.isNaN(msToFirstToken)) {
                firstTokenMs.add(msToFirstToken);
            }
        }

        int count(Outcome outcome) {
            return counts.getOrDefault(outcome, 0);
        }

        int total() {
            return counts.values().stream().mapToInt(Integer::intValue).sum();
        }

        /** The part of the worth that was earned. */
        double share() {
            return owed > 0 ? earned / owed : 1;
        }

        /** First-token time in milliseconds at a quantile. */
        double firstTokenMs(double quantile) {
            List<Double> sorted = firstTokenMs.stream().sorted().toList();
            return sorted.isEmpty()
                    ? Double.NaN
                    : sorted.get((int) Math.min(sorted.size() - 1, quantile * sorted.size()));
        }
    }

    void add(RequestClass requestClass, Outcome outcome, double factor, double arrivedMs, double firstTokenMs) {
        ClassTally tally = classes.computeIfAbsent(requestClass.name(), ignored -> new ClassTally());
        double earned = factor * worth(requestClass, outcome);
        double owed = factor * requestClass.worth();
        tally.add(earned, owed, outcome, firstTokenMs);
        double[] window = windows.computeIfAbsent((int) (arrivedMs / WINDOW_MS), ignored -> new double[2]);
        window[0] += earned;
        window[1] += owed;
    }

    private static double worth(RequestClass requestClass, Outcome outcome) {
        return switch (outcome) {
            case ON_TIME -> requestClass.worth();
            case LATE -> requestClass.lateWorth();
            default -> 0;
        };
    }

    /** Counts a request for its organisation too. */
    void addTo(
            OrganisationId organisation,
            RequestClass requestClass,
            Outcome outcome,
            double factor,
            double firstTokenMs) {
        organisations
                .computeIfAbsent(organisation, ignored -> new ClassTally())
                .add(factor * worth(requestClass, outcome), factor * requestClass.worth(), outcome, firstTokenMs);
    }

    /** What one organisation got. */
    ClassTally of(OrganisationId organisation) {
        return organisations.getOrDefault(organisation, new ClassTally());
    }

    /** The part of the worth that all organisations but one earned together. */
    double shareWithout(OrganisationId organisation) {
        double earned = 0;
        double owed = 0;
        for (Map.Entry<OrganisationId, ClassTally> entry : organisations.entrySet()) {
            if (!entry.getKey().equals(organisation)) {
                earned += entry.getValue().earned;
                owed += entry.getValue().owed;
            }
        }
        return owed > 0 ? earned / owed : 1;
    }

    void messages(long count) {
        messages = count;
    }

    /** Reports of work that hosts sent to each other. */
    long messages() {
        return messages;
    }

    void engines(double busy) {
        engineBusy = busy;
    }

    /** Part of the time in which an engine works, on the mean. */
    double engineBusy() {
        return engineBusy;
    }

    Map<String, ClassTally> classes() {
        return classes;
    }

    ClassTally of(String requestClass) {
        return classes.getOrDefault(requestClass, new ClassTally());
    }

    /** The part of the whole worth that was earned. */
    double share() {
        double earned =
                classes.values().stream().mapToDouble(tally -> tally.earned).sum();
        double owed = classes.values().stream().mapToDouble(tally -> tally.owed).sum();
        return owed > 0 ? earned / owed : 1;
    }

    /** The same for the two worst windows of two seconds. */
    double worstWindows() {
        return windows.values().stream()
                .filter(window -> window[1] > 0)
                .mapToDouble(window -> window[0] / window[1])
                .sorted()
                .limit(2)
                .average()
                .orElse(1);
    }
}
