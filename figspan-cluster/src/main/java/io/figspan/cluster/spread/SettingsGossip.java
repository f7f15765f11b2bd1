package io.figspan.cluster.spread;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.PartChange;
import io.figspan.cluster.message.PartDigest;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.figspan.core.id.HostId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.util.RendezvousHash;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Disseminates settings versions between hosts. Two hosts in each availability zone watch the configuration service;
 * the others learn of versions from peers and pull the changed parts. The version in force never decreases. Not
 * thread-safe: a single driver calls it and executes the returned actions in order.
 */
public final class SettingsGossip {
    /** Hosts per availability zone that watch the configuration service, from the design page. */
    static final int WATCHERS_PER_ZONE = 2;

    /** Peers that an adopted version is offered to at once, from the design page. */
    public static final int OFFER_FANOUT = 3;

    /** Time after the start, before jitter, in which only versions from peers are adopted. */
    static final long PEERS_ONLY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** After this time without progress a pull requests single parts or another peer; four fit into the 3 s limit. */
    static final long PULL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Failed pulls after which a peer's offer is dropped, until it makes another one. */
    private static final int MAX_FAILED_PULLS = 3;

    private static final long OFFER_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Maximum size of the inline parts: enough for the deltas of one change, too small to delay a probe. */
    private static final int MAX_INLINE_BYTES = 65_536;

    private static final int MAX_OFFERS = 16;
    private static final int MAX_REJECTED = 16;
    private static final String RENDEZVOUS_KEY = "settings-watch";

    private final Peer self;
    private final List<PeerAddress> seeds;
    private final RandomGenerator random;
    private final ContentHistory history = new ContentHistory();
    private final Map<PeerAddress, Offer> offers = new LinkedHashMap<>();
    private final Set<SettingsVersion> rejected = new LinkedHashSet<>();
    private final long serviceTrustedFromNanos;
    private SettingsPullState pull;
    private SettingsContent pendingAdoption;
    private SettingsContent deferredServiceContent;
    private long nextOfferAtNanos;
    private long nextReadAtNanos;
    private boolean watching;

    /** A version that a peer has in force, and the number of failed pulls of it from that peer. */
    private record Offer(SettingsVersion version, int failedPulls) {}

    public SettingsGossip(Peer self, List<PeerAddress> seeds, RandomGenerator random, long nowNanos) {
        this.self = self;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
        this.random = random;
        this.nextOfferAtNanos = nowNanos;
        this.serviceTrustedFromNanos =
                this.seeds.isEmpty() ? nowNanos : nowNanos + PEERS_ONLY_NANOS + random.nextLong(PEERS_ONLY_NANOS / 4);
        this.nextReadAtNanos = serviceTrustedFromNanos;
    }

    public SettingsVersion inForce() {
        return history.newest().content().version();
    }

    public boolean isWatching() {
        return watching;
    }

    // Inputs

    /** Runs due timers. */
    public List<ClusterAction> tick(long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (pull != null && nowNanos - pull.progressAtNanos() >= PULL_TIMEOUT_NANOS) {
            retryPull(nowNanos, actions);
        }
        startPull(nowNanos, actions);
        boolean mayTrustService =
                inForce().isNewerThan(SettingsVersion.NONE) || nowNanos - serviceTrustedFromNanos >= 0;
        if (!mayTrustService) {
            offerToSeeds(nowNanos, actions);
            return actions;
        }
        if (deferredServiceContent != null && pull == null) {
            SettingsContent deferred = deferredServiceContent;
            deferredServiceContent = null;
            adopt(deferred, actions);
        }
        boolean needsFirstVersion = inForce().equals(SettingsVersion.NONE) && pull == null && pendingAdoption == null;
        if (needsFirstVersion && nowNanos - nextReadAtNanos >= 0) {
            nextReadAtNanos = nowNanos + READ_INTERVAL_NANOS / 2 + random.nextLong(READ_INTERVAL_NANOS);
            actions.add(new ClusterAction.ReadConfigurationService());
        }
        return actions;
    }

    /** Reselects the watchers of the configuration service from the live members of this host's zone. */
    public List<ClusterAction> zoneChanged(List<Peer> liveInZone) {
        List<HostId> hosts = liveInZone.stream().map(Peer::host).toList();
        List<HostId> order = RendezvousHash.order(RENDEZVOUS_KEY, hosts);
        boolean selected =
                order.subList(0, Math.min(WATCHERS_PER_ZONE, order.size())).contains(self.host());
        if (selected == watching) {
            return List.of();
        }
        watching = selected;
        return List.of(new ClusterAction.WatchConfigurationService(selected));
    }

    /** Handles a version read from the configuration service, which may be stale. */
    public List<ClusterAction> settingsRead(SettingsContent content, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        boolean mayTrustService =
                inForce().isNewerThan(SettingsVersion.NONE) || nowNanos - serviceTrustedFromNanos >= 0;
        if (!mayTrustService) {
            deferredServiceContent = content;
            return actions;
        }
        adopt(content, actions);
        return actions;
    }

    /** Handles the version in force that a peer announced, and pulls it if it is newer. */
    public List<ClusterAction> versionSeen(Peer from, SettingsVersion version, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (version.isNewerThan(inForce()) && !rejected.contains(version)) {
            if (offers.size() >= MAX_OFFERS) {
                offers.remove(offers.keySet().iterator().next());
            }
            offers.put(from.address(), new Offer(version, 0));
            startPull(nowNanos, actions);
        }
        return actions;
    }

    /** Handles a settings message; other messages are ignored. */
    public List<ClusterAction> receive(Peer from, PeerMessage message, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (message instanceof PeerMessage.SettingsOffer offer) {
            if (inForce().isNewerThan(offer.version())) {
                actions.add(new ClusterAction.Reply(new PeerMessage.SettingsOffer(inForce())));
            }
            actions.addAll(versionSeen(from, offer.version(), nowNanos));
        } else if (message instanceof PeerMessage.SettingsPull request) {
            answerPull(request.have(), actions);
        } else if (message instanceof PeerMessage.SettingsPartPull request) {
            answerPartPull(request, actions);
        } else if (message instanceof PeerMessage.SettingsManifest manifest) {
            handleManifest(from, manifest, nowNanos, actions);
        } else if (message instanceof PeerMessage.SettingsPart part) {
            handlePart(from, part, nowNanos, actions);
        }
        return actions;
    }

    /** Reports that the driver put the version of an {@link ClusterAction.AdoptSettings} in force. */
    public List<ClusterAction> adopted(SettingsVersion version, List<Peer> randomPeers, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (pendingAdoption == null || !pendingAdoption.version().equals(version)) {
            return actions;
        }
        history.add(pendingAdoption);
        pendingAdoption = null;
        offers.values().removeIf(offer -> !offer.version().isNewerThan(version));
        for (Peer peer : randomPeers.subList(0, Math.min(OFFER_FANOUT, randomPeers.size()))) {
            actions.add(new ClusterAction.Send(peer.address(), new PeerMessage.SettingsOffer(version)));
        }
        startPull(nowNanos, actions);
        return actions;
    }

    /** Reports that the driver found a version invalid. It is not pulled again; the version in force is unchanged. */
    public void rejected(SettingsVersion version) {
        if (pendingAdoption != null && pendingAdoption.version().equals(version)) {
            pendingAdoption = null;
        }
        if (rejected.size() >= MAX_REJECTED) {
            rejected.remove(rejected.iterator().next());
        }
        rejected.add(version);
        offers.values().removeIf(offer -> offer.version().equals(version));
    }

    // Pulling

    private void offerToSeeds(long nowNanos, List<ClusterAction> actions) {
        if (seeds.isEmpty() || nowNanos - nextOfferAtNanos < 0 || pull != null || pendingAdoption != null) {
            return;
        }
        nextOfferAtNanos = nowNanos + OFFER_INTERVAL_NANOS;
        int first = random.nextInt(seeds.size());
        for (int i = 0; i < Math.min(OFFER_FANOUT, seeds.size()); i++) {
            PeerAddress seed = seeds.get((first + i) % seeds.size());
            actions.add(new ClusterAction.Send(seed, new PeerMessage.SettingsOffer(SettingsVersion.NONE)));
        }
    }

    private void startPull(long nowNanos, List<ClusterAction> actions) {
        if (pull != null || pendingAdoption != null || offers.isEmpty()) {
            return;
        }
        Offer best = offers.values().stream()
                .max(Comparator.comparing(Offer::version).thenComparing(offer -> -offer.failedPulls()))
                .orElseThrow();
        List<PeerAddress> sources = offers.entrySet().stream()
                .filter(entry -> entry.getValue().equals(best))
                .map(Map.Entry::getKey)
                .toList();
        PeerAddress source = sources.get(random.nextInt(sources.size()));
        pull = new SettingsPullState(source, history, nowNanos);
        actions.add(new ClusterAction.Send(source, new PeerMessage.SettingsPull(inForce())));
    }

    private void retryPull(long nowNanos, List<ClusterAction> actions) {
        Optional<PeerMessage> next = pull.stopWaitingForInlineParts(nowNanos);
        if (next.isPresent()) {
            actions.add(new ClusterAction.Send(pull.source(), next.get()));
            return;
        }
        offers.computeIfPresent(
                pull.source(),
                (source, offer) -> offer.failedPulls() + 1 >= MAX_FAILED_PULLS
                        ? null
                        : new Offer(offer.version(), offer.failedPulls() + 1));
        pull = null;
    }

    private void handleManifest(
            Peer from, PeerMessage.SettingsManifest manifest, long nowNanos, List<ClusterAction> actions) {
        boolean expected =
                pull != null && pull.isWaitingForManifest() && from.address().equals(pull.source());
        if (!expected) {
            return;
        }
        if (!manifest.version().isNewerThan(inForce()) || rejected.contains(manifest.version())) {
            abandonPull(nowNanos, actions);
            return;
        }
        try {
            pull.handleManifest(manifest, nowNanos);
            continuePull(actions);
        } catch (FigspanException e) {
            failPull(manifest.version(), e, nowNanos, actions);
        }
    }

    private void handlePart(Peer from, PeerMessage.SettingsPart part, long nowNanos, List<ClusterAction> actions) {
        boolean expected = pull != null
                && from.address().equals(pull.source())
                && part.version().equals(pull.version());
        if (!expected) {
            return;
        }
        try {
            pull.handlePart(part.change(), nowNanos);
            continuePull(actions);
        } catch (FigspanException e) {
            failPull(part.version(), e, nowNanos, actions);
        }
    }

    private void continuePull(List<ClusterAction> actions) {
        if (pull.isComplete()) {
            SettingsContent content = pull.content();
            pull = null;
            adopt(content, actions);
            return;
        }
        PeerAddress source = pull.source();
        pull.nextPartPull().ifPresent(next -> actions.add(new ClusterAction.Send(source, next)));
    }

    private void failPull(SettingsVersion version, FigspanException cause, long nowNanos, List<ClusterAction> actions) {
        actions.add(new ClusterAction.SettingsPullFailed(version, cause.detail()));
        abandonPull(nowNanos, actions);
    }

    private void abandonPull(long nowNanos, List<ClusterAction> actions) {
        offers.remove(pull.source());
        pull = null;
        startPull(nowNanos, actions);
    }

    private void adopt(SettingsContent content, List<ClusterAction> actions) {
        boolean outdated = !content.version().isNewerThan(inForce())
                || (pendingAdoption != null && !content.version().isNewerThan(pendingAdoption.version()));
        if (outdated || rejected.contains(content.version())) {
            return;
        }
        pendingAdoption = content;
        actions.add(new ClusterAction.AdoptSettings(content));
    }

    // Answering

    private void answerPull(SettingsVersion have, List<ClusterAction> actions) {
        ContentHistory.Entry newest = history.newest();
        if (!newest.content().version().isNewerThan(have)) {
            actions.add(new ClusterAction.Reply(new PeerMessage.SettingsOffer(inForce())));
            return;
        }
        ContentHistory.Entry base = history.find(have).orElse(new ContentHistory.Entry(SettingsContent.NONE, Map.of()));
        List<PartDigest> changed = ContentHistory.changed(base.digests(), newest.digests());
        List<String> removed = base.digests().keySet().stream()
                .filter(name -> !newest.digests().containsKey(name))
                .toList();
        List<PartChange> inline = inlineParts(changed, base, newest);
        actions.add(new ClusterAction.Reply(new PeerMessage.SettingsManifest(
                newest.content().version(), base.content().version(), inline.size(), changed, removed)));
        for (PartChange change : inline) {
            actions.add(new ClusterAction.Reply(
                    new PeerMessage.SettingsPart(newest.content().version(), change)));
        }
    }

    private List<PartChange> inlineParts(
            List<PartDigest> changed, ContentHistory.Entry base, ContentHistory.Entry newest) {
        List<PartChange> inline = new ArrayList<>();
        int bytes = 0;
        for (PartDigest part : changed) {
            Bytes baseDigest = base.digests().getOrDefault(part.name(), Bytes.EMPTY);
            Bytes target = newest.content().parts().get(part.name());
            boolean tooLarge = baseDigest.size() == 0 && target.size() > MAX_INLINE_BYTES;
            if (tooLarge) {
                break;
            }
            PartChange change = history.encode(part.name(), part.digest(), target, baseDigest);
            bytes += change.content().size();
            if (bytes > MAX_INLINE_BYTES) {
                break;
            }
            inline.add(change);
        }
        return inline;
    }

    private void answerPartPull(PeerMessage.SettingsPartPull request, List<ClusterAction> actions) {
        ContentHistory.Entry entry = history.find(request.version()).orElse(null);
        if (entry == null) {
            actions.add(new ClusterAction.Reply(new PeerMessage.SettingsOffer(inForce())));
            return;
        }
        Bytes digest = entry.digests().get(request.name());
        if (digest == null) {
            return;
        }
        Bytes target = entry.content().parts().get(request.name());
        actions.add(new ClusterAction.Reply(new PeerMessage.SettingsPart(
                request.version(), history.encode(request.name(), digest, target, request.base()))));
    }
}
