package umberrun.consensus.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.Test;
import umberrun.consensus.Ballot;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.ConsensusMessage.*;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.VoterSet;
import umberrun.consensus.net.ConsensusCodec.Envelope;

/**
 * Encodes and decodes each kind of message. Damaged messages must be rejected with {@link
 * IllegalArgumentException} and nothing else.
 */
public class ConsensusCodecTest {
  private static final Ballot BALLOT = new Ballot(7, "fe-1/3");
  private static final RegisterValue VALUE = new RegisterValue(3, "5 2 3000000 fe-1");
  private static final VoterSet SET =
      VoterSet.parse("4 fe-1#a,fe-2#b,fe-3#c,fe-4#d fe-2#b fe-1#a,fe-2#b,fe-3#c");
  private static final List<ConsensusMessage> ALL_MESSAGES =
      List.of(
          new Read(1, "duty/beacon"),
          new ReadResult(1, BALLOT, VALUE),
          new Prepare(2, "works", BALLOT),
          new Promised(2, BALLOT, VALUE),
          new Accept(3, "works", BALLOT, VALUE),
          new Accepted(3),
          new Refused(4, BALLOT),
          new Install(5, SET),
          new Installed(5),
          new Outdated(6, SET),
          new UnknownEpoch(7),
          new ListRegisters(8),
          new RegisterNames(8, List.of("works", "duty/beacon")),
          new VoterQuery(9, true, SET, List.of("fe-1", "fe-2", "fe-3")),
          new VoterDescription(9, "fe-1#a", SET, "why not"));

  private static Envelope envelope(ConsensusMessage message) {
    return new Envelope(true, 4, "fe-1#a", 99, 2, message);
  }

  @Test
  public void messagesAreDecodedAsEncoded() {
    assertEquals(
        "a kind of message is not tested",
        ConsensusMessage.class.getPermittedSubclasses().length,
        ALL_MESSAGES.size());
    for (ConsensusMessage message : ALL_MESSAGES) {
      assertEquals(
          envelope(message), ConsensusCodec.decode(ConsensusCodec.encode(envelope(message))));
    }
  }

  /**
   * A message truncated at any byte is rejected, or decoded as the original if only empty fields
   * are missing. A message with changed bytes is decoded or rejected.
   */
  @Test
  public void truncatedAndCorruptedMessagesAreRejected() {
    Random random = new Random(1);
    int rejected = 0;
    for (ConsensusMessage message : ALL_MESSAGES) {
      byte[] encoded = ConsensusCodec.encode(envelope(message));
      for (int length = 0; length < encoded.length; length++) {
        byte[] truncated = Arrays.copyOf(encoded, length);
        assertTrue(
            message + " is decoded as another message from " + length + " bytes",
            isRejected(truncated) || ConsensusCodec.decode(truncated).equals(envelope(message)));
      }
      for (int i = 0; i < 3_000; i++) {
        byte[] corrupted = encoded.clone();
        for (int changes = random.nextInt(3); changes >= 0; changes--) {
          corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
        }
        rejected += isRejected(corrupted) ? 1 : 0;
      }
    }
    assertTrue("rejected too few: " + rejected, rejected > 10_000);
  }

  private static boolean isRejected(byte[] bytes) {
    try {
      ConsensusMessage message = ConsensusCodec.decode(bytes).message();
      // A front end parses the keys of the set next, which must not fail either.
      if (message instanceof Outdated outdated) {
        outdated.voters().keys().forEach(VoterSet::nameOf);
      }
      return false;
    } catch (IllegalArgumentException e) {
      return true;
    }
  }
}
