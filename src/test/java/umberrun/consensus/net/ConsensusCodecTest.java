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
 * The bytes of the agreement: each message as it was, whatever is torn or spoilt refused, and
 * nothing else ever thrown.
 */
public class ConsensusCodecTest {
  private static final Ballot BALLOT = new Ballot(7, "fe-1/3");
  private static final RegisterValue VALUE = new RegisterValue(3, "5 2 3000000 fe-1");
  private static final VoterSet SET =
      VoterSet.parse("4 fe-1#a,fe-2#b,fe-3#c,fe-4#d fe-2#b fe-1#a,fe-2#b,fe-3#c");
  private static final List<ConsensusMessage> ALL =
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

  private static Envelope envelope(ConsensusMessage m) {
    return new Envelope(true, 4, "fe-1#a", 99, 2, m);
  }

  @Test
  public void eachMessageComesAsItWas() {
    assertEquals(
        "a kind of message is not tried",
        ConsensusMessage.class.getPermittedSubclasses().length,
        ALL.size());
    for (ConsensusMessage m : ALL) {
      assertEquals(envelope(m), ConsensusCodec.read(ConsensusCodec.write(envelope(m))));
    }
  }

  /**
   * Torn at each byte it is refused, or was whole but for what says nothing; with bytes that are
   * others it is read or refused.
   */
  @Test
  public void whatIsTornOrSpoiltIsRefused() {
    Random random = new Random(1);
    int refused = 0;
    for (ConsensusMessage m : ALL) {
      byte[] whole = ConsensusCodec.write(envelope(m));
      for (int n = 0; n < whole.length; n++) {
        byte[] torn = Arrays.copyOf(whole, n);
        assertTrue(
            m + " is another one of " + n + " bytes",
            isRefused(torn)
                || ConsensusCodec.read(torn).equals(envelope(m))); // but for its empty end
      }
      for (int i = 0; i < 3_000; i++) {
        byte[] spoilt = whole.clone();
        for (int k = random.nextInt(3); k >= 0; k--) {
          spoilt[random.nextInt(spoilt.length)] = (byte) random.nextInt(256);
        }
        refused += isRefused(spoilt) ? 1 : 0;
      }
    }
    assertTrue("hardly any was refused: " + refused, refused > 10_000);
  }

  private static boolean isRefused(byte[] bytes) {
    try {
      ConsensusMessage m = ConsensusCodec.read(bytes).message();
      if (m instanceof Outdated o) { // what a front end does with it next must not fail either
        o.voters().keys().forEach(VoterSet::nameOf);
      }
      return false;
    } catch (IllegalArgumentException e) {
      return true;
    }
  }
}
