package io.figspan.policy.subset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.policy.entry.EntryHost;
import io.figspan.policy.entry.EntryList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against uneven subsets, which overload some engines, and against unstable subsets, which lose cached prefixes
 * on many engines when a single engine changes.
 */
class SubsetProperties {
    private static List<EngineLocation> engines(int count) {
        List<EngineLocation> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(new EngineLocation(BackendServerId.of("runner-" + i), AvailabilityZoneId.of("az-" + i % 5)));
        }
        return engines;
    }

    @Property(tries = 30, seed = "1")
    void removingAnEngineChangesASubsetByAtMostOneEngineForEachZone(
            @ForAll @IntRange(min = 30, max = 200) int count, @ForAll @IntRange(max = 1_000) int host) {
        List<EngineLocation> all = engines(count);
        HostId id = HostId.of("host-" + host);
        List<EngineLocation> before = SubsetPolicy.DEFAULT.choose(id, all);
        EngineLocation removed = before.get(host % before.size());
        List<EngineLocation> rest = new ArrayList<>(all);
        rest.remove(removed);
        Set<EngineLocation> lost = new HashSet<>(before);
        lost.removeAll(SubsetPolicy.DEFAULT.choose(id, rest));
        assertTrue(lost.contains(removed));
        assertTrue(lost.size() <= 2, "lost " + lost);
    }

    @Property(tries = 5, seed = "1")
    void eachOf630EnginesHasAboutFifteenOf400Hosts(@ForAll @IntRange(max = 9) int salt) {
        Map<EngineLocation, Integer> hosts = new HashMap<>();
        List<EngineLocation> all = engines(630);
        for (int i = 0; i < 400; i++) {
            List<EngineLocation> subset = SubsetPolicy.DEFAULT.choose(HostId.of("host-" + salt + "-" + i), all);
            assertEquals(24, new HashSet<>(subset).size());
            subset.forEach(engine -> hosts.merge(engine, 1, Integer::sum));
        }
        // The mean is 400 x 24 / 630 = 15.2 hosts. An engine without hosts is idle; one with three times the mean is
        // overloaded.
        assertEquals(630, hosts.size());
        assertTrue(hosts.values().stream().allMatch(count -> count <= 45), "uneven: " + hosts.values());
    }

    @Property(tries = 20, seed = "1")
    void eachEngineIsAHomeEngineAndHomeEnginesAreEvenlyDivided(
            @ForAll @IntRange(min = 1, max = 40) int hostCount, @ForAll @IntRange(min = 1, max = 60) int engineCount) {
        List<HostId> hosts = new ArrayList<>();
        for (int i = 0; i < hostCount; i++) {
            hosts.add(HostId.of("host-" + i));
        }
        List<BackendServerId> servers =
                engines(engineCount).stream().map(EngineLocation::server).toList();
        Set<BackendServerId> covered = new HashSet<>();
        for (HostId host : hosts) {
            Set<BackendServerId> homes = HomeEngines.choose(host, hosts, servers);
            assertTrue(homes.size() >= 1 && homes.size() <= engineCount / hostCount + 1, "homes " + homes);
            covered.addAll(homes);
        }
        assertEquals(engineCount, covered.size());
    }

    @Property(tries = 30, seed = "1")
    void anEntryListHasTheDocumentedSizeAndReplacesARemovedHostByTheNext(
            @ForAll @IntRange(min = 1, max = 50) int count, @ForAll @IntRange(max = 100) int percent) {
        List<EntryHost> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(new EntryHost(HostId.of("host-" + i), AvailabilityZoneId.of("az-" + i % 3)));
        }
        OrganisationId organisation = OrganisationId.of("organisation-" + percent);
        double share = percent / 100.0;
        List<EntryHost> list = EntryList.choose(organisation, share, hosts);
        assertEquals(Math.min(count, Math.max(3, (int) Math.ceil(share * count * 1.5))), list.size());
        assertEquals(list, EntryList.choose(organisation, share, hosts));
        List<EntryHost> rest = new ArrayList<>(hosts);
        rest.remove(list.get(0));
        List<EntryHost> after = EntryList.choose(organisation, share, rest);
        assertTrue(!after.contains(list.get(0)));
        long kept = list.stream().filter(after::contains).count();
        assertTrue(kept >= list.size() - 3, "kept " + kept + " of " + list.size());
    }
}
