package io.figspan.bench.faults;

import java.util.List;
import java.util.function.Supplier;

/**
 * One scenario with one scheme.
 *
 * @param name name on the command line
 * @param guarantees guarantees of the design page that the scenario checks
 * @param counts kinds of violations that the scenario looks for
 */
record Variant(String name, String guarantees, boolean naive, List<Count> counts, Supplier<Scenario> scenario) {
    private static final List<Count> ORDER_COUNTS = List.of(Count.RUN_TWICE, Count.FALSE_NOT_RUN, Count.FALSE_RAN);

    static final List<Variant> ALL = List.of(
            real("orders", "P4 P5", ORDER_COUNTS, () -> new OrderScenario(OrderScheme.FIGSPAN)),
            naive("orders-key-per-host", "P4 P5", ORDER_COUNTS, () -> new OrderScenario(OrderScheme.KEY_PER_HOST)),
            naive("orders-no-void", "P4 P5", ORDER_COUNTS, () -> new OrderScenario(OrderScheme.NO_VOID)),
            naive("orders-repeat-writes", "P4 P5", ORDER_COUNTS, () -> new OrderScenario(OrderScheme.REPEATS_WRITES)),
            naive("orders-trust-proofs", "P4 P5", ORDER_COUNTS, () -> new OrderScenario(OrderScheme.TRUSTS_PROOFS)));

    private static Variant real(String name, String guarantees, List<Count> counts, Supplier<Scenario> scenario) {
        return new Variant(name, guarantees, false, counts, scenario);
    }

    private static Variant naive(String name, String guarantees, List<Count> counts, Supplier<Scenario> scenario) {
        return new Variant(name, guarantees, true, counts, scenario);
    }
}
