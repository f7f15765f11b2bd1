package io.figspan.cluster;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.loan.LimitShares;
import io.figspan.cluster.loan.LoanLedger;
import io.figspan.cluster.membership.Membership;
import io.figspan.cluster.membership.MembershipConfig;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.Piggyback;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.cluster.spread.SettingsGossip;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.SettingsVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Runs the peer protocols of one host: membership supplies the live members to the settings gossip, and membership
 * frames carry the settings version. Not thread-safe: a single driver calls it with monotonic times and executes the
 * returned actions in order.
 */
public final class ClusterHost {
    /** Maximum time between two ticks of the driver. */
    public static final long TICK_NANOS = Membership.TICK_NANOS;

    /** Low bits of a loan request id, which count the requests of one process; the incarnation number is above. */
    private static final int REQUEST_ID_BITS = 20;

    private final Membership membership;
    private final SettingsGossip settingsGossip;
    private final LoanLedger loans;
    private boolean zoneIsCurrent;

    public ClusterHost(
            Peer self,
            List<PeerAddress> seeds,
            MembershipConfig config,
            LimitShares shares,
            RandomGenerator random,
            long nowNanos) {
        this.membership = new Membership(self, seeds, config, random, nowNanos);
        this.settingsGossip = new SettingsGossip(self, seeds, random, nowNanos);
        long firstRequestId = self.incarnation().number() << REQUEST_ID_BITS;
        this.loans = new LoanLedger(self.host(), shares, firstRequestId, nowNanos);
    }

    public Membership membership() {
        return membership;
    }

    public SettingsGossip settingsGossip() {
        return settingsGossip;
    }

    public LoanLedger loans() {
        return loans;
    }

    public List<ClusterAction> tick(long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>(membership.tick(nowNanos));
        detectZoneChanges(actions);
        if (membership.isStopped()) {
            return actions;
        }
        if (!zoneIsCurrent) {
            zoneIsCurrent = true;
            actions.addAll(settingsGossip.zoneChanged(liveInOwnZone()));
        }
        actions.addAll(settingsGossip.tick(nowNanos));
        if (settingsGossip.isOfferDue(nowNanos)) {
            actions.addAll(settingsGossip.offerAgain(membership.randomPeers(SettingsGossip.OFFER_FANOUT), nowNanos));
        }
        actions.addAll(loans.tick(nowNanos));
        return actions;
    }

    public List<ClusterAction> receive(Peer from, PeerMessage message, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>(membership.receive(from, message, nowNanos));
        detectZoneChanges(actions);
        if (membership.isStopped()) {
            return actions;
        }
        Optional<Piggyback> piggyback = piggybackOf(message);
        if (piggyback.isPresent()) {
            actions.addAll(settingsGossip.versionSeen(from, piggyback.get().settings(), nowNanos));
            return actions;
        }
        actions.addAll(settingsGossip.receive(from, message, nowNanos));
        actions.addAll(loans.receive(from, message, nowNanos));
        return actions;
    }

    /** Handles a version that was read from the configuration service. */
    public List<ClusterAction> settingsRead(SettingsContent content, long nowNanos) {
        return settingsGossip.settingsRead(content, nowNanos);
    }

    /** Reports that the driver validated a version and put it in force. */
    public List<ClusterAction> adopted(SettingsVersion version, long nowNanos) {
        membership.settingsInForce(version);
        return settingsGossip.adopted(version, membership.randomPeers(SettingsGossip.OFFER_FANOUT), nowNanos);
    }

    /** Reports that the driver found a version invalid. */
    public void rejected(SettingsVersion version) {
        settingsGossip.rejected(version);
    }

    public List<ClusterAction> backendLeaving(BackendIncarnation backend) {
        return membership.backendLeaving(backend);
    }

    /** As {@link #backendLeaving(BackendIncarnation)}, and notifies the hosts that use the server at once. */
    public List<ClusterAction> backendLeaving(BackendIncarnation backend, Set<HostId> hostsUsing) {
        return membership.backendLeaving(backend, hostsUsing);
    }

    /** Requests a loan of an organisation's limit from one of its live home hosts. */
    public List<ClusterAction> requestLoan(
            OrganisationId organisation, long tokensPerSecond, List<Peer> liveHomeHosts, long nowNanos) {
        return loans.request(organisation, tokensPerSecond, liveHomeHosts, nowNanos);
    }

    public List<ClusterAction> leave() {
        return membership.leave();
    }

    private void detectZoneChanges(List<ClusterAction> actions) {
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
