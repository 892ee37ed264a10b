package umberrun.consensus.net;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import umberrun.consensus.Ballot;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.ConsensusMessage.*;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.VoterSet;

/**
 * Encodes consensus messages as MessagePack arrays, with fields by position. Later versions may
 * append fields to the envelope; the array with the fields of the message always has four elements.
 */
final class ConsensusCodec {
  /**
   * A message with its addressing.
   *
   * @param answer whether it is a response
   * @param epoch of the voter set that the request is made under
   * @param voter key of the voter that is asked or responds; empty when a front end speaks for
   *     itself
   * @param startId identifies the requesting process
   * @param requester the part of that process that gets the response: the number of a {@link
   *     RegisterManager.RegisterClient}, or a negative number
   */
  record Envelope(
      boolean answer,
      long epoch,
      String voter,
      long startId,
      int requester,
      ConsensusMessage message) {}

  /**
   * The index of a class is its number on the wire: new kinds are appended, and none is ever moved.
   */
  private static final List<Class<? extends ConsensusMessage>> KINDS =
      List.of(
          Read.class,
          ReadResult.class,
          Prepare.class,
          Promised.class,
          Accept.class,
          Accepted.class,
          Refused.class,
          Install.class,
          Installed.class,
          Outdated.class,
          UnknownEpoch.class,
          ListRegisters.class,
          RegisterNames.class,
          VoterQuery.class,
          VoterDescription.class);

  private static final int ENVELOPE_FIELDS = 7;
  private static final int MAX_NAMES = 4_096;
  private static final int MAX_TEXT_LENGTH = 128;
  private static final int MAX_LONG_TEXT_LENGTH = 2_048;

  private ConsensusCodec() {}

  /** Encodes a message. */
  static byte[] encode(Envelope envelope) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      ConsensusMessage message = envelope.message;
      out.packArrayHeader(ENVELOPE_FIELDS)
          .packBoolean(envelope.answer)
          .packLong(envelope.epoch)
          .packString(envelope.voter)
          .packLong(envelope.startId)
          .packInt(envelope.requester)
          .packInt(KINDS.indexOf(message.getClass()));
      encodeBody(out, message);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e); // cannot happen: the buffer is in memory
    }
  }

  private static void encodeBody(MessagePacker out, ConsensusMessage message) throws IOException {
    out.packArrayHeader(4).packLong(message.op());
    if (message instanceof Read read) {
      out.packString(read.register()).packNil().packNil();
    } else if (message instanceof ReadResult result) {
      packAccepted(out, result.accepted(), result.value());
    } else if (message instanceof Prepare prepare) {
      packBallot(out.packString(prepare.register()), prepare.ballot()).packNil();
    } else if (message instanceof Promised promised) {
      packAccepted(out, promised.accepted(), promised.value());
    } else if (message instanceof Accept accept) {
      packValue(packBallot(out.packString(accept.register()), accept.ballot()), accept.value());
    } else if (message instanceof Refused refused) {
      packBallot(out, refused.promised()).packNil().packNil();
    } else if (message instanceof Install install) {
      out.packString(install.voters().text()).packNil().packNil();
    } else if (message instanceof Outdated outdated) {
      out.packString(outdated.voters().text()).packNil().packNil();
    } else if (message instanceof RegisterNames response) {
      packNames(out, response.names()).packNil().packNil();
    } else if (message instanceof VoterQuery query) {
      packNames(
          out.packBoolean(query.createStore()).packString(query.asOf().text()), query.names());
    } else if (message instanceof VoterDescription description) {
      out.packString(description.key())
          .packString(description.known().text())
          .packString(description.fault());
    } else {
      out.packNil().packNil().packNil();
    }
  }

  private static MessagePacker packNames(MessagePacker out, List<String> names) throws IOException {
    out.packArrayHeader(names.size());
    for (String name : names) {
      out.packString(name);
    }
    return out;
  }

  private static void packAccepted(MessagePacker out, Ballot ballot, RegisterValue value)
      throws IOException {
    packValue(packBallot(out, ballot), value).packNil();
  }

  private static MessagePacker packBallot(MessagePacker out, Ballot ballot) throws IOException {
    out.packArrayHeader(2).packLong(ballot.round()).packString(ballot.proposer());
    return out;
  }

  private static MessagePacker packValue(MessagePacker out, RegisterValue value)
      throws IOException {
    out.packArrayHeader(2).packLong(value.version()).packString(value.text());
    return out;
  }

  /**
   * Decodes a message.
   *
   * @throws IllegalArgumentException if the bytes are not a valid message
   */
  static Envelope decode(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      require(in.unpackArrayHeader() >= ENVELOPE_FIELDS);
      boolean answer = in.unpackBoolean();
      long epoch = in.unpackLong();
      String voter = unpackText(in, MAX_TEXT_LENGTH);
      long startId = in.unpackLong();
      int requester = in.unpackInt();
      int kind = in.unpackInt();
      require(kind >= 0 && kind < KINDS.size() && epoch >= 0);
      return new Envelope(
          answer, epoch, voter, startId, requester, decodeBody(in, KINDS.get(kind)));
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException(e.toString(), e);
    }
  }

  private static ConsensusMessage decodeBody(
      MessageUnpacker in, Class<? extends ConsensusMessage> kind) throws IOException {
    require(in.unpackArrayHeader() == 4);
    long op = in.unpackLong();
    if (kind == Read.class) {
      return new Read(op, unpackRegister(in));
    } else if (kind == ReadResult.class) {
      return new ReadResult(op, unpackBallot(in), unpackValue(in));
    } else if (kind == Prepare.class) {
      return new Prepare(op, unpackRegister(in), unpackBallot(in));
    } else if (kind == Promised.class) {
      return new Promised(op, unpackBallot(in), unpackValue(in));
    } else if (kind == Accept.class) {
      return new Accept(op, unpackRegister(in), unpackBallot(in), unpackValue(in));
    } else if (kind == Accepted.class) {
      return new Accepted(op);
    } else if (kind == Refused.class) {
      return new Refused(op, unpackBallot(in));
    } else if (kind == Install.class) {
      return new Install(op, VoterSet.parse(unpackText(in, MAX_LONG_TEXT_LENGTH)));
    } else if (kind == Installed.class) {
      return new Installed(op);
    } else if (kind == Outdated.class) {
      return new Outdated(op, VoterSet.parse(unpackText(in, MAX_LONG_TEXT_LENGTH)));
    } else if (kind == UnknownEpoch.class) {
      return new UnknownEpoch(op);
    } else if (kind == ListRegisters.class) {
      return new ListRegisters(op);
    } else if (kind == RegisterNames.class) {
      return new RegisterNames(op, unpackNames(in));
    } else if (kind == VoterQuery.class) {
      return new VoterQuery(
          op,
          in.unpackBoolean(),
          VoterSet.parse(unpackText(in, MAX_LONG_TEXT_LENGTH)),
          unpackNames(in));
    }
    return new VoterDescription(
        op,
        unpackText(in, MAX_TEXT_LENGTH),
        VoterSet.parse(unpackText(in, MAX_LONG_TEXT_LENGTH)),
        unpackText(in, MAX_LONG_TEXT_LENGTH));
  }

  /**
   * Bounds the memory that a name takes in voters, and rejects the empty name, which is the slot of
   * the voter set.
   */
  private static String unpackRegister(MessageUnpacker in) throws IOException {
    String name = unpackText(in, MAX_TEXT_LENGTH);
    require(!name.isEmpty());
    return name;
  }

  private static List<String> unpackNames(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    require(count <= MAX_NAMES);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      names.add(unpackText(in, MAX_TEXT_LENGTH));
    }
    return names;
  }

  private static Ballot unpackBallot(MessageUnpacker in) throws IOException {
    require(in.unpackArrayHeader() == 2);
    return new Ballot(in.unpackLong(), unpackText(in, MAX_TEXT_LENGTH));
  }

  private static RegisterValue unpackValue(MessageUnpacker in) throws IOException {
    require(in.unpackArrayHeader() == 2);
    return new RegisterValue(in.unpackLong(), unpackText(in, RegisterValue.MAX_BYTES));
  }

  private static String unpackText(MessageUnpacker in, int maxLength) throws IOException {
    String text = in.unpackString();
    require(text.length() <= maxLength);
    return text;
  }

  private static void require(boolean condition) {
    if (!condition) {
      throw new IllegalArgumentException("a field is out of range");
    }
  }
}
