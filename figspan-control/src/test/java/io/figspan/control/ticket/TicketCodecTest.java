package io.figspan.control.ticket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.figspan.control.resume.ResumeToken;
import io.figspan.control.resume.ResumeTokenCodec;
import io.figspan.control.token.TokenKeys;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.Result;
import io.figspan.core.error.RunState;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.StreamId;
import io.figspan.core.id.TicketId;
import org.junit.jupiter.api.Test;

class TicketCodecTest {
    private static final TokenKeys KEYS = TokenKeys.ofText("first key of the tests");
    private static final OrganisationId ORG = OrganisationId.of("kite");
    private static final OrganisationId OTHER_ORG = OrganisationId.of("rook");
    private static final HostIncarnation OWNER = new HostIncarnation(HostId.of("h1"), 7);
    private static final Ticket TICKET = new Ticket(ORG, ServiceId.of("orders"), TicketId.of("h1:7:0"), OWNER);
    private static final ResumeToken TOKEN =
            new ResumeToken(new BackendIncarnation(BackendServerId.of("e1"), 3), StreamId.of("s1"), 17, OWNER);

    private final TicketCodec codec = new TicketCodec(KEYS);
    private final ResumeTokenCodec resumeCodec = new ResumeTokenCodec(KEYS);

    @Test
    void aTicketIsUnchangedAfterEncodingAndDecoding() {
        assertEquals(Result.ok(TICKET), codec.decode(codec.encode(TICKET), ORG));
    }

    /** Guards against accepting a ticket whose organisation, service or owner was altered by a caller. */
    @Test
    void aTicketWithAnyCharacterChangedIsRefused() {
        String text = codec.encode(TICKET);
        for (int i = 0; i < text.length(); i++) {
            for (char c : new char[] {'A', 'B', '.', '_', '=', '%'}) {
                String altered = text.substring(0, i) + c + text.substring(i + 1);
                if (!altered.equals(text)) {
                    assertRefused(codec.decode(altered, ORG));
                }
            }
            assertRefused(codec.decode(text.substring(0, i), ORG));
        }
    }

    @Test
    void aTicketOfAnotherOrganisationOrAnotherKeyIsRefused() {
        assertRefused(codec.decode(codec.encode(TICKET), OTHER_ORG));
        String forged = new TicketCodec(TokenKeys.ofText("a key that the forger made up")).encode(TICKET);
        assertRefused(codec.decode(forged, ORG));
    }

    /** Guards against a key rotation after which the outcomes of earlier tickets cannot be queried. */
    @Test
    void aTicketOfThePreviousKeyIsAcceptedWhileThatKeyIsListed() {
        TokenKeys rotated = TokenKeys.ofText("second key of the tests", "first key of the tests");
        assertEquals(Result.ok(TICKET), new TicketCodec(rotated).decode(codec.encode(TICKET), ORG));
    }

    /** Guards against a resume token that gives access to the stream of another caller with the same request id. */
    @Test
    void aResumeTokenWorksOnlyForItsOrganisationAndRequest() {
        RequestId request = RequestId.of("same-id");
        String text = resumeCodec.encode(TOKEN, ORG, request);
        assertEquals(Result.ok(TOKEN), resumeCodec.decode(text, ORG, request));
        assertRefused(resumeCodec.decode(text, OTHER_ORG, request));
        assertRefused(resumeCodec.decode(text, ORG, RequestId.of("other-id")));
    }

    /** Guards against accepting a token of the other kind, as both kinds share a key. */
    @Test
    void ticketsAndResumeTokensAreNotInterchangeable() {
        String ticket = codec.encode(TICKET);
        String token = resumeCodec.encode(TOKEN, ORG, RequestId.of("r"));
        assertRefused(codec.decode(token, ORG));
        assertRefused(resumeCodec.decode(ticket, ORG, RequestId.of("r")));
    }

    @Test
    void aResumeTokenOfAnEngineThatRestartedIsRefused() {
        BackendIncarnation later = new BackendIncarnation(BackendServerId.of("e1"), 4);
        Result<ResumeToken> result = ResumeTokenCodec.checkEngine(TOKEN, later);
        assertEquals(
                ProblemKind.STREAM_GONE,
                ((Result.Failed<ResumeToken>) result).problem().kind());
    }

    @Test
    void aTooShortKeyIsRefused() {
        assertThrows(FigspanException.class, () -> TokenKeys.ofText("short"));
    }

    private static void assertRefused(Result<?> result) {
        assertFalse(result.isOk());
        assertEquals(
                ProblemKind.TOKEN_REFUSED, ((Result.Failed<?>) result).problem().kind());
        assertEquals(RunState.UNKNOWN, ((Result.Failed<?>) result).problem().run());
    }
}
