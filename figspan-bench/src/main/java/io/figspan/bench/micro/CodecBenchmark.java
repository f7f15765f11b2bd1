package io.figspan.bench.micro;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.Piggyback;
import io.figspan.control.ticket.Ticket;
import io.figspan.control.ticket.TicketCodec;
import io.figspan.control.token.TokenKeys;
import io.figspan.core.error.Result;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.TicketId;
import io.figspan.core.time.HybridTimestamp;
import io.figspan.wire.FrameCodec;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** The checks that each message between hosts and each ticket costs. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class CodecBenchmark {
    private final byte[] ping =
            FrameCodec.encode(new PeerMessage.Ping(7, Piggyback.NONE), new HybridTimestamp(1_700_000_000_000L, 3));
    private final OrganisationId organisation = OrganisationId.of("organisation");
    private final TicketCodec tickets = new TicketCodec(TokenKeys.ofText("0123456789abcdef0123456789abcdef"));
    private final String ticket = tickets.encode(new Ticket(
            organisation,
            ServiceId.of("orders"),
            TicketId.of("host-1:1700000000000:1"),
            new HostIncarnation(HostId.of("host-1"), 1_700_000_000_000L)));

    /** Decodes the body of a membership probe without its HMAC. */
    @Benchmark
    public FrameCodec.Decoded frame() {
        return FrameCodec.decode(ping);
    }

    /** Checks a ticket with its HMAC. */
    @Benchmark
    public Result<Ticket> ticket() {
        return tickets.decode(ticket, organisation);
    }
}
