package io.figspan.policy.placing;

import io.figspan.policy.engine.PrefillShare;
import io.figspan.settings.gateway.EngineProfile;
import java.util.Map;

/** Prompt tokens of one request that engines are expected not to prefill, because they hold the prompt's prefix. */
record SavedPrefill(Map<EngineState, Double> tokensByEngine) {
    static final SavedPrefill NONE = new SavedPrefill(Map.of());

    SavedPrefill {
        tokensByEngine = Map.copyOf(tokensByEngine);
    }

    double tokens(EngineState engine) {
        return tokensByEngine.getOrDefault(engine, 0.0);
    }

    /** Returns the share of an engine. Only an engine that prefills the whole prompt reuses its prefix. */
    PrefillShare share(double promptTokens, EngineState engine, int engines) {
        return engines > 1
                ? PrefillShare.of(promptTokens, engines)
                : PrefillShare.afterPrefix(promptTokens, tokens(engine));
    }

    /** Returns the tokens saved by a plan for its log line; empty when there are none. */
    String reason(PrefillPlan plan) {
        double saved = plan.helpers().isEmpty() ? tokens(plan.primary()) : 0;
        return saved > 0 ? " savedTokens=" + Math.round(saved) : "";
    }

    /** Returns the prefill time that an engine is expected to save. */
    double savedMs(double promptTokens, EngineState engine) {
        return savedMs(promptTokens, tokens(engine), engine.profile());
    }

    static double savedMs(double promptTokens, double savedTokens, EngineProfile profile) {
        return savedTokens == 0
                ? 0
                : PrefillShare.of(promptTokens, 1).prefillMs(profile)
                        - PrefillShare.afterPrefix(promptTokens, savedTokens).prefillMs(profile);
    }
}
