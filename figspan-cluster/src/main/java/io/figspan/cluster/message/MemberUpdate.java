package io.figspan.cluster.message;

import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;

/**
 * One membership statement about one process. A higher refutation count overrides a lower one; at the same count a
 * suspicion overrides alive and gone overrides both. A newer incarnation at a seat overrides everything about an older
 * one.
 */
public sealed interface MemberUpdate {
    HostIncarnation incarnation();

    /** How often the process has refuted a suspicion or a death notice about itself. */
    int refutation();

    /** The process is alive. Only this statement carries an address, since the others are about known members. */
    record Alive(Peer peer, int refutation) implements MemberUpdate {
        @Override
        public HostIncarnation incarnation() {
            return peer.incarnation();
        }
    }

    /** The process did not answer {@code by}. Suspicions from different hosts shorten the time to refute. */
    record Suspect(HostIncarnation incarnation, int refutation, HostId by) implements MemberUpdate {}

    /** The process is dead, or left gracefully. */
    record Gone(HostIncarnation incarnation, int refutation, boolean left) implements MemberUpdate {}
}
