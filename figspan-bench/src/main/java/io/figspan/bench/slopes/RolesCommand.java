package io.figspan.bench.slopes;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.figspan.bench.BenchCommand;
import io.figspan.control.hold.HoldLedger;
import io.figspan.control.hold.HoldLedgerConfig;
import io.figspan.control.leaving.LeavingRegistry;
import io.figspan.control.leaving.LeavingSource;
import io.figspan.control.ticket.TicketOwner;
import io.figspan.control.ticket.TicketOwnerConfig;
import io.figspan.core.event.Part;
import io.figspan.core.event.TimelineEvent;
import io.figspan.core.event.TimelineRing;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.time.Deadline;
import io.figspan.core.time.HybridTimestamp;
import io.figspan.policy.affinity.PrefixAffinity;
import io.figspan.policy.entry.EntryHost;
import io.figspan.policy.limit.OrganisationLimit;
import io.figspan.policy.limit.OrganisationLimits;
import io.figspan.policy.placement.EngineSpeed;
import io.figspan.policy.placement.LoadReport;
import io.figspan.policy.placement.LoadView;
import io.figspan.policy.subset.EngineLocation;
import io.figspan.settings.SettingsPart;
import io.figspan.settings.SettingsTreeReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * {@code bin/bench roles}: bytes and processor time for each item of the tables of one host, at four sizes, with a
 * fitted slope. Bytes are heap after collections; time is that of building the table.
 */
@Parameters(commandDescription = "Measures the state of each role of one host by the number of its items")
public final class RolesCommand implements BenchCommand {
    private static final int ZONES = 5;
    private static final int ROUNDS = 3;
    private static final HostIncarnation SELF = new HostIncarnation(HostId.of("host-1"), 1);
    private static final EngineSpeed SPEED = new EngineSpeed(40_000, 512, 30_000_000, 400_000);

    @Parameter(names = "--help", help = true, description = "Prints this help")
    private boolean help;

    /** Builds the table of a role with a number of items. */
    private interface Builder {
        Object build(int items);
    }

    private record Role(String name, String item, List<Integer> sizes, Builder builder) {}

    private static final List<Role> ROLES = List.of(
            new Role("ticket owner", "ticket", sizes(4_000), RolesCommand::tickets),
            new Role("limits", "organisation", sizes(1_000), RolesCommand::limits),
            new Role("load views", "request in flight on 24 runners", sizes(1_000), RolesCommand::loadViews),
            new Role("hold ledger", "hold", sizes(1_000), RolesCommand::holds),
            new Role("leaving registry", "backend server", sizes(1_000), RolesCommand::leaving),
            new Role("cache hints", "prefix", sizes(1_000), RolesCommand::cacheHints),
            new Role("time line", "event", sizes(4_000), RolesCommand::timeline),
            new Role("settings tree", "organisation", sizes(4_000), RolesCommand::settings));

    @Override
    public boolean help() {
        return help;
    }

    @Override
    public boolean run(PrintStream out) {
        double referenceNanos = ReferenceOperation.measureNanos();
        out.printf(Locale.ROOT, "Reference operation (SHA-256 of 1 KiB): %.0f ns%n%n", referenceNanos);
        out.println("| role | item | sizes | bytes for each item | error | µs for each item | error | reference |");
        out.println("|---|---|---|---:|---:|---:|---:|---:|");
        for (Role role : ROLES) {
            out.println(measure(role, referenceNanos));
        }
        return true;
    }

    private static String measure(Role role, double referenceNanos) {
        role.builder().build(role.sizes().get(0));
        double[] items = new double[role.sizes().size()];
        double[] bytes = new double[items.length];
        double[] micros = new double[items.length];
        for (int i = 0; i < items.length; i++) {
            items[i] = role.sizes().get(i);
            micros[i] = Double.MAX_VALUE;
            for (int round = 0; round < ROUNDS; round++) {
                long before = HeapMeter.usedBytes();
                long startNanos = System.nanoTime();
                Object table = role.builder().build(role.sizes().get(i));
                micros[i] = Math.min(micros[i], (System.nanoTime() - startNanos) / 1e3);
                bytes[i] = HeapMeter.usedBytes() - before;
                if (table.hashCode() == before) {
                    throw new IllegalStateException("keeps the table alive until its memory was measured");
                }
            }
        }
        LineFit byteFit = LineFit.through(items, bytes);
        LineFit microFit = LineFit.through(items, micros);
        return String.format(
                Locale.ROOT,
                "| %s | %s | %d to %d | %s | %s | %s | %s | %s |",
                role.name(),
                role.item(),
                role.sizes().get(0),
                role.sizes().get(items.length - 1),
                SlopeTable.number(byteFit.slope()),
                SlopeTable.number(byteFit.slopeError()),
                SlopeTable.number(microFit.slope()),
                SlopeTable.number(microFit.slopeError()),
                SlopeTable.number(microFit.slope() * 1e3 / referenceNanos));
    }

    private static List<Integer> sizes(int step) {
        return List.of(step, 2 * step, 3 * step, 4 * step);
    }

    // Tables

    private static Object tickets(int items) {
        TicketOwner owner = new TicketOwner(SELF, TicketOwnerConfig.DEFAULT);
        for (int i = 0; i < items; i++) {
            owner.issue(OrganisationId.of("organisation-" + i % 120), ServiceId.of("orders"), i);
        }
        return owner;
    }

    private static Object limits(int items) {
        List<EntryHost> roster = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            roster.add(new EntryHost(HostId.of("host-" + i), AvailabilityZoneId.of("az-" + i % ZONES)));
        }
        OrganisationLimits limits = new OrganisationLimits(SELF.host(), 0);
        OrganisationLimit limit = new OrganisationLimit(20_000, 20, 0.1);
        for (int i = 0; i < items; i++) {
            limits.configure(OrganisationId.of("organisation-" + i), limit, roster, 1);
        }
        return limits;
    }

    private static Object loadViews(int items) {
        LoadView view = new LoadView(SPEED);
        for (int i = 0; i < 24; i++) {
            BackendServerId server = BackendServerId.of("runner-" + i);
            view.add(new EngineLocation(server, AvailabilityZoneId.of("az-" + i % ZONES)));
            view.report(server, new LoadReport(1, 1_000, 10, 100_000, 400_000, 0), 1);
        }
        for (int i = 0; i < items; i++) {
            view.recordSent(view.engines().get(i % 24).server(), i, 4_000, 4_000, 4_300, 2);
        }
        return view;
    }

    private static Object holds(int items) {
        HoldLedger ledger = new HoldLedger(SELF, HoldLedgerConfig.DEFAULT);
        BackendIncarnation engine = new BackendIncarnation(BackendServerId.of("runner-1"), 1);
        for (int i = 0; i < items; i++) {
            ledger.reserve(engine, 4_000, Deadline.after(0, 10_000), 0);
        }
        return ledger;
    }

    private static Object leaving(int items) {
        LeavingRegistry registry = new LeavingRegistry(LeavingRegistry.DEFAULT_CAPACITY_SERVERS);
        for (int i = 0; i < items; i++) {
            registry.onLeaving(new BackendIncarnation(BackendServerId.of("runner-" + i), 1), LeavingSource.LIST, i);
        }
        return registry;
    }

    private static Object cacheHints(int items) {
        PrefixAffinity affinity = new PrefixAffinity(PrefixAffinity.DEFAULT_LOAD_BOUND);
        BackendServerId server = BackendServerId.of("runner-1");
        for (int i = 0; i < items; i++) {
            affinity.recordSent(i, server);
        }
        return affinity;
    }

    private static Object timeline(int items) {
        TimelineRing ring = new TimelineRing(TimelineRing.DEFAULT_CAPACITY_EVENTS);
        for (int i = 0; i < items; i++) {
            ring.add(new TimelineEvent(
                    new HybridTimestamp(i, 0), SELF.host(), Part.ENTRY, "sent", "request-" + i, "runner-1@1 offset 0"));
        }
        return ring;
    }

    private static Object settings(int items) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < items; i++) {
            text.append("[organisation.o").append(i).append("]\nweight = 2.0\nshare = 0.0001\n");
            text.append("limits.tokensPerSecond = ").append(1_000 + i).append("\n");
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        return SettingsTreeReader.read(List.of(SettingsPart.of("organisations", bytes)));
    }
}
