package io.figspan.cluster;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.loan.LoanLedger;
import io.figspan.cluster.loan.LimitShares;
import io.figspan.cluster.membership.Membership;
import io.figspan.cluster.membership.MembershipConfig;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.Piggyback;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.cluster.spread.SettingsGossip;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.SettingsVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The protocols between hosts of one process, joined: membership tells the spread of settings who is alive, and its
 * frames carry the settings version. It is not thread-safe: one driver passes in messages and ticks with the monotonic
 * time and carries out the actions in order.
 */
public final class ClusterHost {
    /** Longest time between two ticks of the driver. */
    public static final long TICK_NANOS = Membership.TICK_NANOS;

    /** Bits below the incarnation number that count the loan requests of one process. */
    private static final int REQUEST_ID_BITS = 20;

    private final Membership membership;
    private final SettingsGossip spread;
    private final LoanLedger loans;
    private boolean zoneIsCurrent;

    public ClusterHost(
            Peer self,
            List<PeerAddress> seeds,
            MembershipConfig tuning,
            LimitShares shares,
            RandomGenerator random,
            long nowNanos) {
        this.membership = new Membership(self, seeds, tuning, random, nowNanos);
        this.spread = new SettingsGossip(self, seeds, random, nowNanos);
        long firstRequestId = self.incarnation().number() << REQUEST_ID_BITS;
        this.loans = new LoanLedger(self.host(), shares, firstRequestId, nowNanos);
    }

    public Membership membership() {
        return membership;
    }

    public SettingsGossip spread() {
        return spread;
    }

    public LoanLedger loans() {
        return loans;
    }

    public List<ClusterAction> tick(long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>(membership.tick(nowNanos));
        noteZoneChanges(actions);
        if (membership.isStopped()) {
            return actions;
        }
        if (!zoneIsCurrent) {
            zoneIsCurrent = true;
            actions.addAll(spread.zoneChanged(liveInOwnZone()));
        }
        actions.addAll(spread.tick(nowNanos));
        actions.addAll(loans.tick(nowNanos));
        return actions;
    }

    public List<ClusterAction> receive(Peer from, PeerMessage message, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>(membership.receive(from, message, nowNanos));
        noteZoneChanges(actions);
        if (membership.isStopped()) {
            return actions;
        }
        Optional<Piggyback> piggyback = piggybackOf(message);
        if (piggyback.isPresent()) {
            actions.addAll(spread.versionSeen(from, piggyback.get().settings(), nowNanos));
            return actions;
        }
        actions.addAll(spread.receive(from, message, nowNanos));
        actions.addAll(loans.receive(from, message, nowNanos));
        return actions;
    }

    /** A version was read from the configuration service. */
    public List<ClusterAction> settingsRead(SettingsContent content, long nowNanos) {
        return spread.settingsRead(content, nowNanos);
    }

    /** The driver validated a version and it is in force. */
    public List<ClusterAction> adopted(SettingsVersion version, long nowNanos) {
        membership.settingsInForce(version);
        return spread.adopted(version, membership.randomPeers(SettingsGossip.OFFER_FANOUT), nowNanos);
    }

    /** The driver refused a version. */
    public void rejected(SettingsVersion version) {
        spread.rejected(version);
    }

    public List<ClusterAction> backendLeaving(BackendIncarnation backend) {
        return membership.backendLeaving(backend);
    }

    /** Asks the live ones of an organisation's home hosts for more of its limit. */
    public List<ClusterAction> requestLoan(
            OrganisationId organisation, long tokensPerSecond, List<Peer> liveHomes, long nowNanos) {
        return loans.need(organisation, tokensPerSecond, liveHomes, nowNanos);
    }

    public List<ClusterAction> leave() {
        return membership.leave();
    }

    private void noteZoneChanges(List<ClusterAction> actions) {
        for (ClusterAction action : actions) {
            if (action instanceof ClusterAction.MemberChanged changed
                    && changed.peer().zone().equals(membership.self().zone())) {
                zoneIsCurrent = false;
            }
        }
    }

    private List<Peer> liveInOwnZone() {
        return membership.liveByZone().getOrDefault(membership.self().zone(), List.of());
    }

    private static Optional<Piggyback> piggybackOf(PeerMessage message) {
        if (message instanceof PeerMessage.Ping ping) {
            return Optional.of(ping.piggyback());
        }
        if (message instanceof PeerMessage.Ack ack) {
            return Optional.of(ack.piggyback());
        }
        if (message instanceof PeerMessage.PingRequest request) {
            return Optional.of(request.piggyback());
        }
        return Optional.empty();
    }
}
