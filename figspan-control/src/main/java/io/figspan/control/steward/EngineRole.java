package io.figspan.control.steward;

/** What an engine does for prompts. */
public enum EngineRole {
    /** Prefill and decode. */
    MIXED,
    /** Prefill only; the KV cache is exported to a decoding engine. */
    PREFILL,
    /** Decode only; the KV cache is imported. */
    DECODE
}
