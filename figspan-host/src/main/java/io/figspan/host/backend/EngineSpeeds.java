package io.figspan.host.backend;

import io.figspan.policy.placement.EngineSpeed;

/** Speeds of the engines that predictions use. */
public final class EngineSpeeds {
    /**
     * Speed of the stand-in engines: 2,000 prompt tokens per step of 5 ms, 400,000 tokens of memory. Predictions for
     * other engines need their measured speed here.
     */
    public static final EngineSpeed STAND_IN = new EngineSpeed(400_000, 2_000, 5_000_000, 400_000);

    private EngineSpeeds() {}
}
