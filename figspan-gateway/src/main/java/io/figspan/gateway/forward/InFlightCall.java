package io.figspan.gateway.forward;

/** A request in progress. The caller's connection reports its state through this interface. */
public interface InFlightCall {
    /** The connection of the caller was closed. */
    void onCallerDisconnected();

    /** The connection of the caller became writable or unwritable. */
    void onCallerWritabilityChanged(boolean writable);
}
