package io.figspan.host.peer;

import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerMessage;
import io.reactivex.rxjava3.core.Single;

/** Carries out orders and answers outcome queries that other hosts forward to this one. */
public interface OrderHandler {
    Single<PeerMessage.OrderOutcome> forwarded(Peer from, PeerMessage.ForwardOrder order);

    Single<PeerMessage.OrderOutcome> outcome(Peer from, PeerMessage.OutcomeQuery query);
}
