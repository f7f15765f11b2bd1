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
 * the others learn versions from peers and pull the changed parts. The version in force never goes down. It is not
 * thread-safe: one driver passes in messages and ticks and carries out the actions.
 */
public final class SettingsGossip {
    /** Watchers of the configuration service in each availability zone, from the design page. */
    static final int WATCHERS_PER_ZONE = 2;

    /** Peers told at once about an adopted version, from the design page. */
    public static final int OFFER_FANOUT = 3;

    /** Time at start during which only peers are trusted. */
    static final long PEER_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A pull without progress for this long goes on with single parts or another peer; four fit into the 3 s. */
    static final long PULL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Pulls without success after which a peer's offer is forgotten, until it makes another one. */
    private static final int MAX_FAILED_PULLS = 3;

    private static final long ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Parts that follow a manifest unasked: enough for the deltas of one change, too little to delay a probe. */
    private static final int MAX_INLINE_BYTES = 65_536;

    private static final int MAX_CANDIDATES = 16;
    private static final int MAX_REJECTED = 16;
    private static final String RENDEZVOUS_KEY = "settings-watch";

    private final Peer self;
    private final List<PeerAddress> seeds;
    private final RandomGenerator random;
    private final ContentHistory history = new ContentHistory();
    private final Map<PeerAddress, Offer> candidates = new LinkedHashMap<>();
    private final Set<SettingsVersion> rejected = new LinkedHashSet<>();
    private final long trustServiceAtNanos;
    private SettingsPullState pull;
    private SettingsContent inAdoption;
    private SettingsContent heldFromService;
    private long nextAskAtNanos;
    private long nextReadAtNanos;
    private boolean watching;

    /** A version that a peer has, and how many pulls of it failed. */
    private record Offer(SettingsVersion version, int failedPulls) {}

    public SettingsGossip(Peer self, List<PeerAddress> seeds, RandomGenerator random, long nowNanos) {
        this.self = self;
        this.seeds = seeds.stream().filter(seed -> !seed.equals(self.address())).toList();
        this.random = random;
        this.nextAskAtNanos = nowNanos;
        this.trustServiceAtNanos = this.seeds.isEmpty()
                ? nowNanos
                : nowNanos + PEER_DEADLINE_NANOS + random.nextLong(PEER_DEADLINE_NANOS / 4);
        this.nextReadAtNanos = trustServiceAtNanos;
    }

    public SettingsVersion inForce() {
        return history.newest().content().version();
    }

    public boolean isWatching() {
        return watching;
    }

    // Inputs

    /** Runs what is due. */
    public List<ClusterAction> tick(long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (pull != null && nowNanos - pull.progressAtNanos() >= PULL_TIMEOUT_NANOS) {
            retryPull(nowNanos, actions);
        }
        startPull(nowNanos, actions);
        boolean mayTrustService = inForce().isNewerThan(SettingsVersion.NONE) || nowNanos - trustServiceAtNanos >= 0;
        if (!mayTrustService) {
            askPeers(nowNanos, actions);
            return actions;
        }
        if (heldFromService != null && pull == null) {
            SettingsContent held = heldFromService;
            heldFromService = null;
            adopt(held, actions);
        }
        boolean hasNothing = inForce().equals(SettingsVersion.NONE) && pull == null && inAdoption == null;
        if (hasNothing && nowNanos - nextReadAtNanos >= 0) {
            nextReadAtNanos = nowNanos + READ_INTERVAL_NANOS / 2 + random.nextLong(READ_INTERVAL_NANOS);
            actions.add(new ClusterAction.ReadConfigurationService());
        }
        return actions;
    }

    /** Decides again who watches the configuration service, from the live members of this process's zone. */
    public List<ClusterAction> zoneChanged(List<Peer> liveInZone) {
        List<HostId> hosts = liveInZone.stream().map(Peer::host).toList();
        List<HostId> order = RendezvousHash.order(RENDEZVOUS_KEY, hosts);
        boolean chosen =
                order.subList(0, Math.min(WATCHERS_PER_ZONE, order.size())).contains(self.host());
        if (chosen == watching) {
            return List.of();
        }
        watching = chosen;
        return List.of(new ClusterAction.WatchConfigurationService(chosen));
    }

    /** A version was read from the configuration service, which may be stale. */
    public List<ClusterAction> settingsRead(SettingsContent content, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        boolean mayTrustService = inForce().isNewerThan(SettingsVersion.NONE) || nowNanos - trustServiceAtNanos >= 0;
        if (!mayTrustService) {
            heldFromService = content;
            return actions;
        }
        adopt(content, actions);
        return actions;
    }

    /** A peer has this version in force, as its frame says. */
    public List<ClusterAction> versionSeen(Peer from, SettingsVersion version, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (version.isNewerThan(inForce()) && !rejected.contains(version)) {
            if (candidates.size() >= MAX_CANDIDATES) {
                candidates.remove(candidates.keySet().iterator().next());
            }
            candidates.put(from.address(), new Offer(version, 0));
            startPull(nowNanos, actions);
        }
        return actions;
    }

    /** Takes a settings message; other kinds are ignored. */
    public List<ClusterAction> receive(Peer from, PeerMessage message, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (message instanceof PeerMessage.SettingsOffer offer) {
            if (inForce().isNewerThan(offer.version())) {
                actions.add(new ClusterAction.Reply(new PeerMessage.SettingsOffer(inForce())));
            }
            actions.addAll(versionSeen(from, offer.version(), nowNanos));
        } else if (message instanceof PeerMessage.SettingsPull asked) {
            answerPull(asked.have(), actions);
        } else if (message instanceof PeerMessage.SettingsPartPull asked) {
            answerPartPull(asked, actions);
        } else if (message instanceof PeerMessage.SettingsManifest manifest) {
            takeManifest(from, manifest, nowNanos, actions);
        } else if (message instanceof PeerMessage.SettingsPart part) {
            takePart(from, part, nowNanos, actions);
        }
        return actions;
    }

    /** The driver validated the version of an {@link ClusterAction.AdoptSettings} and it is in force now. */
    public List<ClusterAction> adopted(SettingsVersion version, List<Peer> randomPeers, long nowNanos) {
        List<ClusterAction> actions = new ArrayList<>();
        if (inAdoption == null || !inAdoption.version().equals(version)) {
            return actions;
        }
        history.add(inAdoption);
        inAdoption = null;
        candidates.values().removeIf(offer -> !offer.version().isNewerThan(version));
        for (Peer peer : randomPeers.subList(0, Math.min(OFFER_FANOUT, randomPeers.size()))) {
            actions.add(new ClusterAction.Send(peer.address(), new PeerMessage.SettingsOffer(version)));
        }
        startPull(nowNanos, actions);
        return actions;
    }

    /** The driver found the version invalid; it is not pulled again and the version in force stays. */
    public void rejected(SettingsVersion version) {
        if (inAdoption != null && inAdoption.version().equals(version)) {
            inAdoption = null;
        }
        if (rejected.size() >= MAX_REJECTED) {
            rejected.remove(rejected.iterator().next());
        }
        rejected.add(version);
        candidates.values().removeIf(offer -> offer.version().equals(version));
    }

    // Pulling

    private void askPeers(long nowNanos, List<ClusterAction> actions) {
        if (seeds.isEmpty() || nowNanos - nextAskAtNanos < 0 || pull != null || inAdoption != null) {
            return;
        }
        nextAskAtNanos = nowNanos + ASK_INTERVAL_NANOS;
        int first = random.nextInt(seeds.size());
        for (int i = 0; i < Math.min(OFFER_FANOUT, seeds.size()); i++) {
            PeerAddress seed = seeds.get((first + i) % seeds.size());
            actions.add(new ClusterAction.Send(seed, new PeerMessage.SettingsOffer(SettingsVersion.NONE)));
        }
    }

    private void startPull(long nowNanos, List<ClusterAction> actions) {
        if (pull != null || inAdoption != null || candidates.isEmpty()) {
            return;
        }
        Offer best = candidates.values().stream()
                .max(Comparator.comparing(Offer::version).thenComparing(offer -> -offer.failedPulls()))
                .orElseThrow();
        List<PeerAddress> sources = candidates.entrySet().stream()
                .filter(entry -> entry.getValue().equals(best))
                .map(Map.Entry::getKey)
                .toList();
        PeerAddress source = sources.get(random.nextInt(sources.size()));
        pull = new SettingsPullState(source, history, nowNanos);
        actions.add(new ClusterAction.Send(source, new PeerMessage.SettingsPull(inForce())));
    }

    private void retryPull(long nowNanos, List<ClusterAction> actions) {
        Optional<PeerMessage> next = pull.skipInline(nowNanos);
        if (next.isPresent()) {
            actions.add(new ClusterAction.Send(pull.source(), next.get()));
            return;
        }
        candidates.computeIfPresent(
                pull.source(),
                (source, offer) -> offer.failedPulls() + 1 >= MAX_FAILED_PULLS
                        ? null
                        : new Offer(offer.version(), offer.failedPulls() + 1));
        pull = null;
    }

    private void takeManifest(
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
            pull.takeManifest(manifest, nowNanos);
            continuePull(actions);
        } catch (FigspanException e) {
            refuse(manifest.version(), e, nowNanos, actions);
        }
    }

    private void takePart(Peer from, PeerMessage.SettingsPart part, long nowNanos, List<ClusterAction> actions) {
        boolean expected = pull != null
                && from.address().equals(pull.source())
                && part.version().equals(pull.version());
        if (!expected) {
            return;
        }
        try {
            pull.takePart(part.change(), nowNanos);
            continuePull(actions);
        } catch (FigspanException e) {
            refuse(part.version(), e, nowNanos, actions);
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

    private void refuse(SettingsVersion version, FigspanException cause, long nowNanos, List<ClusterAction> actions) {
        actions.add(new ClusterAction.SettingsPullFailed(version, cause.detail()));
        abandonPull(nowNanos, actions);
    }

    private void abandonPull(long nowNanos, List<ClusterAction> actions) {
        candidates.remove(pull.source());
        pull = null;
        startPull(nowNanos, actions);
    }

    private void adopt(SettingsContent content, List<ClusterAction> actions) {
        boolean outdated = !content.version().isNewerThan(inForce())
                || (inAdoption != null && !content.version().isNewerThan(inAdoption.version()));
        if (outdated || rejected.contains(content.version())) {
            return;
        }
        inAdoption = content;
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

    private void answerPartPull(PeerMessage.SettingsPartPull asked, List<ClusterAction> actions) {
        ContentHistory.Entry entry = history.find(asked.version()).orElse(null);
        if (entry == null) {
            actions.add(new ClusterAction.Reply(new PeerMessage.SettingsOffer(inForce())));
            return;
        }
        Bytes digest = entry.digests().get(asked.name());
        if (digest == null) {
            return;
        }
        Bytes target = entry.content().parts().get(asked.name());
        actions.add(new ClusterAction.Reply(new PeerMessage.SettingsPart(
                asked.version(), history.encode(asked.name(), digest, target, asked.base()))));
    }
}
