package io.figspan.host.order;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.HostIncarnation;
import io.reactivex.rxjava3.core.Single;
import java.util.function.LongFunction;

/** Sends orders and outcome queries to the process that owns a ticket. */
@FunctionalInterface
public interface OrderForwarder {
    /**
     * Sends one message and never repeats it. Fails when no outcome arrives in time; the owner may have acted on the
     * message all the same.
     *
     * @param message makes the message from the correlation id
     */
    Single<PeerMessage.OrderOutcome> forward(HostIncarnation owner, LongFunction<PeerMessage> message, long timeoutMs);
}
