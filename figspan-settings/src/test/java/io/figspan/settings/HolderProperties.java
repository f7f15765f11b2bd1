package io.figspan.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.SettingsVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against a version that decreases, that mixes parts of two versions, or that an invalid version replaces. */
class HolderProperties {
    private static final int VERSIONS = 8;

    @Property(tries = 200, seed = "12")
    void theVersionInForceNeverDecreasesAndIsAlwaysWhole(@ForAll long seed) {
        Random random = new Random(seed);
        SettingsHolder holder = new SettingsHolder();
        SettingsVersion before = SettingsVersion.NONE;
        for (int step = 0; step < 60; step++) {
            int version = 1 + random.nextInt(VERSIONS);
            Offer offer = offer(random, version);
            Result<SettingsSnapshot> result = holder.offer(offer.manifest(), offer.parts());
            boolean expected = offer.valid() && version > before.number();
            assertEquals(expected, result.isOk());
            requireInvariant(holder, before, expected, version);
            before = holder.version();
        }
    }

    private static void requireInvariant(SettingsHolder holder, SettingsVersion before, boolean adopted, int version) {
        assertFalse(before.isNewerThan(holder.version()));
        assertEquals(adopted ? new SettingsVersion(version) : before, holder.version());
        if (holder.inForce().isEmpty()) {
            return;
        }
        long inForce = holder.version().number();
        SettingsTree parsedAnew = SettingsTreeReader.read(parts((int) inForce));
        assertEquals(
                List.of(),
                SettingsDiff.between(parsedAnew, holder.tree()),
                "reused parsed parts differ from parts parsed anew");
        ResolvedSettings fleet = holder.tree().fleet();
        ResolvedSettings organisation = holder.tree().resolve(OrganisationId.of("o"));
        assertEquals(inForce, fleet.integer(SettingKey.PROMPTS_DEADLINE_MS), "value from the fleet part");
        assertEquals(inForce, organisation.integer(SettingKey.LIMITS_BURST_TOKENS), "value from the organisation part");
    }

    private record Offer(SettingsManifest manifest, List<SettingsPart> parts, boolean valid) {}

    /** A publication of the version. Sometimes one part is missing, corrupt, invalid or from another version. */
    private static Offer offer(Random random, int version) {
        List<SettingsPart> whole = parts(version);
        SettingsManifest manifest = SettingsManifest.of(version, whole);
        List<SettingsPart> parts = new ArrayList<>(whole);
        int fault = random.nextInt(8);
        switch (fault) {
            case 0 -> parts.set(random.nextInt(2), parts(version + 1).get(random.nextInt(2)));
            case 1 -> parts.remove(random.nextInt(2));
            case 2 -> parts.set(0, new SettingsPart("fleet.toml", whole.get(0).text() + "#"));
            case 3 -> {
                parts.set(0, new SettingsPart("fleet.toml", "[fleet]\nprompts.deadlineMs = 0\n"));
                manifest = SettingsManifest.of(version, parts);
            }
            default -> {
                if (random.nextBoolean()) {
                    parts.add(0, parts.remove(1));
                }
            }
        }
        return new Offer(manifest, parts, fault > 3);
    }

    /**
     * Two parts that differ in every version, one that never changes, and one that adds a service to the organisation
     * of the unchanged part; the service alternates with the version.
     */
    private static List<SettingsPart> parts(int version) {
        String service = "[organisation.p.service.s" + version % 2 + "]\n";
        return List.of(
                new SettingsPart("fleet.toml", "[fleet]\nprompts.deadlineMs = " + version + "\n"),
                new SettingsPart("o.toml", "[organisation.o]\nlimits.burstTokens = " + version + "\n"),
                new SettingsPart("p.toml", "[organisation.p]\nweight = 3\n"),
                new SettingsPart("services.toml", service + "kind = \"order\"\n"));
    }

    @Property(tries = 1, seed = "13")
    void theRefusalOfAnInvalidVersionIsShownUntilAHigherOneIsInForce() {
        SettingsHolder holder = new SettingsHolder();
        holder.offer(SettingsSnapshot.of(1, parts(1)));
        holder.offer(SettingsManifest.of(3, parts(3)), parts(2));
        assertEquals(
                ProblemKind.SETTINGS_INVALID, holder.lastRefusal().orElseThrow().kind());
        holder.offer(SettingsSnapshot.of(2, parts(2)));
        assertTrue(holder.lastRefusal().isPresent());
        holder.offer(SettingsSnapshot.of(4, parts(4)));
        assertTrue(holder.lastRefusal().isEmpty());
    }
}
