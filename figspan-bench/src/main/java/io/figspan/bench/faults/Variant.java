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

    private static final List<Count> PROMPT_COUNTS = List.of(Count.MIXED, Count.INCOMPLETE, Count.DEADLINE);

    private static final List<Count> HOLD_COUNTS = List.of(Count.HOLDS_LOST, Count.HOLDS_STOLEN);
    private static final List<Count> SHUTDOWN = List.of(Count.CUT_OFF);

    private static final List<Count> SETTINGS_COUNTS = List.of(Count.SETTINGS_BACK, Count.SETTINGS_LATE);

    static final List<Variant> ALL = List.of(
            real("orders", "P4 P5", ORDER_COUNTS, () -> new OrderScenario(OrderScheme.FIGSPAN)),
            naive("orders-key-per-host", "P4 P5", ORDER_COUNTS, () -> new OrderScenario(OrderScheme.KEY_PER_HOST)),
            naive("orders-no-void", "P4 P5", ORDER_COUNTS, () -> new OrderScenario(OrderScheme.NO_VOID)),
            naive("orders-repeat-writes", "P4 P5", ORDER_COUNTS, () -> new OrderScenario(OrderScheme.REPEATS_WRITES)),
            naive("orders-trust-proofs", "P4 P5", ORDER_COUNTS, () -> new OrderScenario(OrderScheme.TRUSTS_PROOFS)),
            real("prompts", "P1 P3", PROMPT_COUNTS, () -> new PromptScenario(PromptScheme.FIGSPAN)),
            naive(
                    "prompts-by-request-id",
                    "P1 P3",
                    PROMPT_COUNTS,
                    () -> new PromptScenario(PromptScheme.BY_REQUEST_ID)),
            naive("prompts-append-parts", "P1 P3", PROMPT_COUNTS, () -> new PromptScenario(PromptScheme.APPENDS_PARTS)),
            naive("prompts-no-deadline", "P1 P3", PROMPT_COUNTS, () -> new PromptScenario(PromptScheme.NO_DEADLINE)),
            real("holds", "P2", HOLD_COUNTS, () -> new HoldScenario(false)),
            naive("holds-owner-only", "P2", HOLD_COUNTS, () -> new HoldScenario(true)),
            real("leaving", "P6", List.of(Count.LEAVING_WORK), () -> new LeavingScenario(false)),
            naive("leaving-list-only", "P6", List.of(Count.LEAVING_WORK), () -> new LeavingScenario(true)),
            real("shutdown", "P7", SHUTDOWN, () -> new ShutdownScenario(ShutdownScenario.Scheme.FIGSPAN)),
            naive("shutdown-no-wait", "P7", SHUTDOWN, () -> new ShutdownScenario(ShutdownScenario.Scheme.NO_LIST_WAIT)),
            naive("shutdown-no-drain", "P7", SHUTDOWN, () -> new ShutdownScenario(ShutdownScenario.Scheme.NO_DRAIN)),
            real("models", "3.6", List.of(Count.STALE_ORDER), () -> new ModelOrderScenario(false)),
            naive("models-any-engine", "3.6", List.of(Count.STALE_ORDER), () -> new ModelOrderScenario(true)),
            real("settings", "P8", SETTINGS_COUNTS, () -> new SettingsScenario(false)),
            naive("settings-trust-service", "P8", SETTINGS_COUNTS, () -> new SettingsScenario(true)));

    private static Variant real(String name, String guarantees, List<Count> counts, Supplier<Scenario> scenario) {
        return new Variant(name, guarantees, false, counts, scenario);
    }

    private static Variant naive(String name, String guarantees, List<Count> counts, Supplier<Scenario> scenario) {
        return new Variant(name, guarantees, true, counts, scenario);
    }
}
