package io.figspan.settings;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.SettingsVersion;
import java.util.Collection;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the version in force. It adopts only a valid version above the one in force and keeps the last good one
 * otherwise. Safe for use by several threads.
 */
public final class SettingsHolder {
    private static final Logger LOG = LoggerFactory.getLogger(SettingsHolder.class);

    private SettingsSnapshot inForce;
    private Problem lastRefusal;
    private SettingsVersion lastRefusedVersion = SettingsVersion.NONE;

    /**
     * Offers a manifest with parts. The version is compared first, so that an old one costs no reading.
     *
     * @return the adopted snapshot; or a problem of kind {@link ProblemKind#SETTINGS_OUTDATED} for a version that is
     *     not above the one in force, or {@link ProblemKind#SETTINGS_INVALID} for an invalid one
     */
    public Result<SettingsSnapshot> offer(SettingsManifest manifest, Collection<SettingsPart> parts) {
        if (!manifest.version().isNewerThan(version())) {
            return Result.failed(outdated(manifest));
        }
        Result<SettingsSnapshot> assembled = SettingsSnapshot.assemble(manifest, parts, inForce());
        if (assembled instanceof Result.Ok<SettingsSnapshot> ok) {
            return offer(ok.value());
        }
        recordRefusal(manifest.version(), ((Result.Failed<SettingsSnapshot>) assembled).problem());
        return assembled;
    }

    /** Offers a snapshot, which is valid by construction. */
    public synchronized Result<SettingsSnapshot> offer(SettingsSnapshot snapshot) {
        if (!snapshot.version().isNewerThan(version())) {
            return Result.failed(outdated(snapshot.manifest()));
        }
        inForce = snapshot;
        if (!lastRefusedVersion.isNewerThan(snapshot.version())) {
            lastRefusal = null;
        }
        LOG.info("[settings] version {} is in force", snapshot.version());
        return Result.ok(snapshot);
    }

    /** The version in force, or {@link SettingsVersion#NONE}. */
    public synchronized SettingsVersion version() {
        return inForce == null ? SettingsVersion.NONE : inForce.version();
    }

    public synchronized Optional<SettingsSnapshot> inForce() {
        return Optional.ofNullable(inForce);
    }

    /** The tree in force; defaults only before the first adoption. */
    public synchronized SettingsTree tree() {
        return inForce == null ? SettingsTree.EMPTY : inForce.tree();
    }

    /** Why the highest refused version was refused; empty when a version at least as high is in force. */
    public synchronized Optional<Problem> lastRefusal() {
        return Optional.ofNullable(lastRefusal);
    }

    /**
     * Records that a version was refused before it could be offered, such as for a part that does not have the digest
     * of the manifest. Ignored when a version at least as high is in force.
     */
    public synchronized void recordRefusal(SettingsVersion version, Problem problem) {
        boolean stillNewer = version.isNewerThan(version());
        if (stillNewer && !lastRefusedVersion.isNewerThan(version)) {
            lastRefusal = problem;
            lastRefusedVersion = version;
        }
        LOG.error("[settings] {}; version {} stays in force", problem.detail(), version());
    }

    private synchronized Problem outdated(SettingsManifest manifest) {
        boolean sameVersion = manifest.version().equals(version());
        boolean otherContent = sameVersion && !manifest.equals(inForce.manifest());
        String reason = otherContent ? "has the number of the one in force but other parts" : "is not above the one";
        String detail =
                "version " + manifest.version() + " " + reason + (otherContent ? "" : " in force, " + version());
        return Problem.notRun(ProblemKind.SETTINGS_OUTDATED, detail);
    }
}
