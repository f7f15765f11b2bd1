package io.figspan.standin.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;

class AnswersProperties {
    /** Guards against a digest, and thus an answer, that depends on how a long prompt is split into segments. */
    @Property(tries = 200, seed = "1")
    void digestOfSegmentsEqualsDigestOfWholeText(@ForAll @AlphaChars String first, @ForAll @AlphaChars String rest) {
        long bySegments = Answers.extendDigest(Answers.extendDigest(Answers.EMPTY_DIGEST, first), rest);
        assertEquals(Answers.extendDigest(Answers.EMPTY_DIGEST, first + rest), bySegments);
    }
}
