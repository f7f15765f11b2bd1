package io.figspan.gateway.backend;

import io.figspan.control.hold.HoldAction;
import io.figspan.core.id.BackendServerId;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * Sends the requests that concern memory holds to engines. Each listener is called exactly once, on the event loop and
 * after the method has returned; without a response it is called when the timeout ends at the latest. All methods must
 * be called on the event loop.
 */
public interface EngineClient {
    /** Whether the engine is registered, so that holds can be renewed and released there. */
    boolean isRegistered(BackendServerId engine);

    /**
     * Whether the engine may get new holds: it is registered, doesn't drain, is not in an evacuated zone and has asked
     * for no pause.
     */
    boolean acceptsRequests(BackendServerId engine);

    /** Whether the engine has asked for a pause that has not ended. */
    boolean isPaused(BackendServerId engine);

    /** Whether a message about memory in use may be sent now to an engine that may have asked for a pause. */
    boolean tryMessage(BackendServerId engine);

    /** Reserves memory at a registered engine, or renews the reservation. */
    void reserve(HoldAction.Reserve reserve, long timeoutMs, Consumer<EngineOutcome> listener);

    /** Releases a reservation at a registered engine. */
    void release(HoldAction.Release release, long timeoutMs, Consumer<EngineOutcome> listener);

    /** Checks whether an engine is alive, also if it is no longer registered. */
    void probe(BackendServerId engine, InetSocketAddress address, long timeoutMs, Consumer<EngineOutcome> listener);
}
