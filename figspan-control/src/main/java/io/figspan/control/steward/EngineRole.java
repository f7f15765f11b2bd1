package io.figspan.control.steward;

/** Phases of inference that an engine runs. */
public enum EngineRole {
    /** Prefill and decode. */
    MIXED,
    /** Prefill only; the KV cache is exported to an engine that decodes. */
    PREFILL,
    /** Decode only; the KV cache is imported from an engine that prefills. */
    DECODE
}
