package io.figspan.gateway.forward;

/** A request in progress, as the caller's connection sees it. */
public interface InFlightCall {
    /** The caller has closed its connection. */
    void onCallerDisconnected();

    /** The caller's connection takes pieces again, or does not. */
    void onCallerWritabilityChanged(boolean writable);
}
