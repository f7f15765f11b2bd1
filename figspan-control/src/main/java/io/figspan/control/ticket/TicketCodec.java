package io.figspan.control.ticket;

import io.figspan.control.token.SignedText;
import io.figspan.control.token.TokenKeys;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.TicketId;
import java.util.List;
import java.util.Optional;

/** Encodes and decodes tickets as text for headers and path segments, authenticated with HMAC-SHA-256. */
public final class TicketCodec {
    private static final String CONTEXT = "figspan-ticket-1";
    private static final int MAC_BYTES = 32;
    private static final int FIELD_COUNT = 4;

    private final SignedText signedText;

    public TicketCodec(TokenKeys keys) {
        this.signedText = new SignedText(keys, CONTEXT, MAC_BYTES);
    }

    public String encode(Ticket ticket) {
        List<String> fields = List.of(
                ticket.organisation().value(),
                ticket.service().value(),
                ticket.id().value(),
                ticket.owner().toString());
        return signedText.encode(fields, "");
    }

    /**
     * Decodes a ticket; {@code tokenRefused} if it is forged, altered or from another organisation. The run state of
     * the refusal is {@code unknown}, because a ticket signed with a key since removed may have been executed.
     */
    public Result<Ticket> decode(String text, OrganisationId caller) {
        Optional<List<String>> fields = signedText.decode(text, "");
        if (fields.isEmpty() || fields.get().size() != FIELD_COUNT) {
            return refused("ticket is not one that this fleet issued");
        }
        try {
            Ticket ticket = parse(fields.get());
            return ticket.organisation().equals(caller)
                    ? Result.ok(ticket)
                    : refused("ticket belongs to another organisation");
        } catch (FigspanException e) {
            return refused("ticket is malformed");
        }
    }

    private static Ticket parse(List<String> fields) {
        return new Ticket(
                OrganisationId.of(fields.get(0)),
                ServiceId.of(fields.get(1)),
                TicketId.of(fields.get(2)),
                HostIncarnation.parse(fields.get(3)));
    }

    private static Result<Ticket> refused(String detail) {
        return Result.failed(Problem.unknown(ProblemKind.TOKEN_REFUSED, detail));
    }
}
