package io.figspan.cluster.spread;

import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.PartChange;
import io.figspan.cluster.message.PartDigest;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.SettingsVersion;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * State of a settings pull. Assembles one version from the messages of a peer and verifies each digest. The parts that
 * have arrived are kept when the pull continues at another peer.
 */
final class SettingsPullState {
    /** Maximum number of parts in one version, from the design page. */
    private static final int MAX_PARTS = 64;

    private final ContentHistory history;
    private final PartAssembly assembly = new PartAssembly();
    private final Map<String, Bytes> parts = new HashMap<>();
    private final Map<String, Bytes> missing = new LinkedHashMap<>();
    private PeerAddress source;
    private boolean waitingForSource;
    private SettingsVersion version = SettingsVersion.NONE;
    private int expectedInlineParts;
    private boolean requestedParts;
    private boolean hasManifest;
    private long progressAtNanos;

    SettingsPullState(PeerAddress source, ContentHistory history, long nowNanos) {
        this.source = source;
        this.history = history;
        this.progressAtNanos = nowNanos;
    }

    PeerAddress source() {
        return source;
    }

    SettingsVersion version() {
        return version;
    }

    long progressAtNanos() {
        return progressAtNanos;
    }

    /** Whether every known source is busy, so that no answer is outstanding. */
    boolean isWaitingForSource() {
        return waitingForSource;
    }

    boolean isWaitingForManifest() {
        return !hasManifest;
    }

    boolean isComplete() {
        return hasManifest && missing.isEmpty();
    }

    /** Whether parts were too large to come with the manifest. */
    boolean hasRequestedParts() {
        return requestedParts;
    }

    SettingsContent content() {
        return SettingsContent.of(version, parts);
    }

    void handleManifest(PeerMessage.SettingsManifest manifest, long nowNanos) {
        ContentHistory.Entry newest = history.newest();
        SettingsVersion newestVersion = newest.content().version();
        boolean baseIsNewest = manifest.base().equals(newestVersion);
        if (!baseIsNewest && !manifest.base().equals(SettingsVersion.NONE)) {
            throw invalid("the manifest is relative to version " + manifest.base() + " instead of " + newestVersion);
        }
        hasManifest = true;
        version = manifest.version();
        progressAtNanos = nowNanos;
        expectedInlineParts =
                Math.min(manifest.inlineParts(), manifest.changed().size());
        if (baseIsNewest) {
            parts.putAll(newest.content().parts());
            manifest.removed().forEach(parts::remove);
        }
        for (PartDigest part : manifest.changed()) {
            Optional<Bytes> known = history.partWithDigest(part.digest());
            if (known.isPresent()) {
                parts.put(part.name(), known.get());
            } else {
                parts.remove(part.name());
                missing.put(part.name(), part.digest());
            }
        }
        if (parts.size() + missing.size() > MAX_PARTS) {
            throw invalid("version " + version + " has more than " + MAX_PARTS + " parts");
        }
    }

    /** Handles a chunk; returns false for one that was not expected, such as a duplicate. */
    boolean handlePart(PeerMessage.SettingsPart part, long nowNanos) {
        boolean inline = expectedInlineParts > 0;
        expectedInlineParts = Math.max(0, expectedInlineParts - 1);
        Bytes expected = missing.get(part.change().name());
        boolean accepted = expected != null && assembly.add(part);
        if (accepted || inline) {
            progressAtNanos = nowNanos;
        }
        if (accepted && assembly.isComplete()) {
            completePart(assembly.take(), expected);
        }
        return accepted || inline;
    }

    private void completePart(PartChange change, Bytes expected) {
        Bytes part = decode(change);
        if (!ContentHistory.sha256(part).equals(expected)) {
            throw invalid("part " + change.name() + " does not match its digest in the manifest");
        }
        missing.remove(change.name());
        parts.put(change.name(), part);
        history.cacheChange(change.base(), change);
    }

    /** The request for the next missing chunk; empty while inline parts are still expected. */
    Optional<PeerMessage> nextPartPull() {
        if (!hasManifest || expectedInlineParts > 0 || missing.isEmpty()) {
            return Optional.empty();
        }
        requestedParts = true;
        String name = missing.keySet().iterator().next();
        Bytes base = history.newest().digests().getOrDefault(name, Bytes.EMPTY);
        boolean lastPart = missing.size() == 1;
        return Optional.of(new PeerMessage.SettingsPartPull(version, name, base, assembly.receivedBytes(), lastPart));
    }

    /** Continues at this peer with the first missing part; a part that has arrived in part is requested again. */
    Optional<PeerMessage> continueAt(PeerAddress peer, long nowNanos) {
        if (!peer.equals(source)) {
            source = peer;
            assembly.clear();
        }
        expectedInlineParts = 0;
        waitingForSource = false;
        progressAtNanos = nowNanos;
        return nextPartPull();
    }

    void waitForSource() {
        waitingForSource = true;
    }

    /**
     * Stops waiting for inline parts and returns the request for the first missing part; empty without a manifest, or
     * if no inline part is outstanding.
     */
    Optional<PeerMessage> stopWaitingForInlineParts(long nowNanos) {
        if (expectedInlineParts == 0) {
            return Optional.empty();
        }
        expectedInlineParts = 0;
        progressAtNanos = nowNanos;
        return nextPartPull();
    }

    private Bytes decode(PartChange change) {
        if (change.base().size() == 0) {
            return PartDelta.inflate(change.content());
        }
        Bytes base = history.partWithDigest(change.base())
                .orElseThrow(() -> invalid("part " + change.name() + " is a delta against an unknown part"));
        return PartDelta.apply(base, change.content());
    }

    private static FigspanException invalid(String detail) {
        return new FigspanException(ProblemKind.SETTINGS_INVALID, detail, Location.of("settings from a peer"));
    }
}
