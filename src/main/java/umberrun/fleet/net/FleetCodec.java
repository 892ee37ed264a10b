package umberrun.fleet.net;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import umberrun.fleet.About;
import umberrun.fleet.Claim;
import umberrun.fleet.GossipMessage;
import umberrun.fleet.ProcessGeneration;

/**
 * Encodes and decodes datagrams and frames. They are MessagePack arrays; later versions may append
 * fields, and a decoder skips the fields that it does not know.
 */
public final class FleetCodec {
  /** Thrown for input that can't be decoded; the message gives the reason. */
  public static final class UndecodableException extends Exception {
    private static final long serialVersionUID = 1;

    /** Whether the input belongs to another fleet or version and is not malformed. */
    public final boolean foreign;

    UndecodableException(String message, boolean foreign) {
      super(message, null, false, false);
      this.foreign = foreign;
    }
  }

  /**
   * A part of a full exchange, or of an operator's request or its answer.
   *
   * @param last whether no more frames follow
   * @param claims the claims of a SYNC; empty otherwise
   * @param text the arguments of an operator's request, or a part of its answer
   */
  public record Frame(Kind kind, boolean last, List<Claim> claims, String text) {
    /** The purpose of a frame. The order of the constants is the wire code. */
    public enum Kind {
      /** Claims of a full exchange. */
      SYNC,
      /** An operator's request for the view of the member. */
      VIEW,
      /** An operator's request that the member leave the fleet. */
      LEAVE,
      /** An operator's request to the handler of a topic. */
      CALL
    }
  }

  /**
   * A message between the handlers of one topic in two members.
   *
   * @param recipient the name of the addressed member; another member may use its address by now
   * @param sender the name of the sending member
   * @param senderAddress where the sender receives replies
   */
  public record TopicMessage(
      String topic, String recipient, String sender, String senderAddress, byte[] body) {}

  public static final int MAX_DATAGRAM_BYTES = 1_400;
  public static final int MAX_FRAME_BYTES = 80 << 10;

  /** A claim is shorter than 512 bytes, as its texts are bounded, so this many fit in a frame. */
  static final int MAX_CLAIMS_PER_FRAME = 100;

  /** The most characters in a name or address. */
  public static final int MAX_TEXT_LENGTH = 64;

  private static final int VERSION = 1;
  private static final int CLAIM_FIELDS = 8;
  private static final int ABOUT_FIELDS = 8;
  private static final int DATAGRAM_FIELDS = 8;
  private static final int FRAME_FIELDS = 6;
  private static final int TOPIC_MESSAGE_FIELDS = 8;

  /** The kind code of a topic message, in the place where datagrams and frames have their kind. */
  private static final int TOPIC_MESSAGE_KIND = 64;

  /** The most claims that are decoded from one datagram or frame; more make it undecodable. */
  private static final int MAX_CLAIMS = 256;

  /** Bounds incarnations and ages, so that those of a faulty sender do not overflow later. */
  private static final long MAX_NUMBER = 1L << 52;

  /** Keeps the generation number, which is an int, from overflowing. */
  private static final int MAX_GENERATION = 1 << 30;

  private final String fleet;

  /**
   * @param fleet the name of the fleet; empty for an operator, who may send requests to members of
   *     any fleet but takes no part in full exchanges
   */
  public FleetCodec(String fleet) {
    this.fleet = fleet;
  }

  // ---------------------------------------------------------------- encoding

  /**
   * Encodes a datagram. Claims that do not fit are left out; they are sent again with a later
   * message.
   */
  public byte[] encode(GossipMessage message) {
    int claimCount = message.gossip().size();
    byte[] bytes = encode(message, claimCount);
    while (bytes.length > MAX_DATAGRAM_BYTES && claimCount > 0) {
      bytes = encode(message, --claimCount);
    }
    return bytes;
  }

  private byte[] encode(GossipMessage message, int claimCount) {
    try (MessageBufferPacker out = packHeader(DATAGRAM_FIELDS)) {
      out.packByte((byte) message.kind().ordinal())
          .packLong(message.seq())
          .packString(message.target())
          .packString(message.targetAddress());
      pack(out, message.sender());
      pack(out, message.gossip().subList(0, claimCount));
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to a buffer in memory failed", e);
    }
  }

  /** Encodes the content of a frame. */
  public byte[] encode(Frame frame) {
    try (MessageBufferPacker out = packHeader(FRAME_FIELDS)) {
      out.packByte((byte) frame.kind.ordinal()).packBoolean(frame.last);
      pack(out, frame.claims);
      out.packString(frame.text);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to a buffer in memory failed", e);
    }
  }

  /** Encodes a topic message, as a datagram or as the content of a frame. */
  public byte[] encode(TopicMessage message) {
    try (MessageBufferPacker out = packHeader(TOPIC_MESSAGE_FIELDS)) {
      out.packInt(TOPIC_MESSAGE_KIND)
          .packString(message.topic)
          .packString(message.recipient)
          .packString(message.sender)
          .packString(message.senderAddress)
          .packBinaryHeader(message.body.length)
          .writePayload(message.body);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to a buffer in memory failed", e);
    }
  }

  private MessageBufferPacker packHeader(int fields) throws IOException {
    MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
    out.packArrayHeader(fields).packByte((byte) VERSION).packString(fleet);
    return out;
  }

  private static void pack(MessageBufferPacker out, List<Claim> claims) throws IOException {
    out.packArrayHeader(claims.size());
    for (Claim claim : claims) {
      pack(out, claim);
    }
  }

  private static void pack(MessageBufferPacker out, Claim claim) throws IOException {
    out.packArrayHeader(CLAIM_FIELDS)
        .packString(claim.name())
        .packInt(claim.generation().number())
        .packLong(claim.generation().startId())
        .packLong(claim.incarnation())
        .packByte((byte) claim.status().ordinal())
        .packString(claim.accuser())
        .packLong(claim.age());
    About about = claim.about();
    if (about == null) {
      out.packNil();
    } else {
      out.packArrayHeader(ABOUT_FIELDS)
          .packString(about.hall())
          .packString(about.address())
          .packByte((byte) about.state().ordinal())
          .packString(about.factAddress())
          .packString(about.operatorAddress())
          .packString(about.release())
          .packInt(about.traffic())
          .packBoolean(about.informed());
    }
  }

  // ---------------------------------------------------------------- decoding

  /** Decodes a datagram of the membership protocol. */
  public GossipMessage decodeMessage(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int extra = extraFields(in.unpackArrayHeader(), DATAGRAM_FIELDS);
      readHeader(in, false);
      GossipMessage.Kind kind = constant(GossipMessage.Kind.values(), in.unpackInt());
      GossipMessage message =
          new GossipMessage(
              kind, in.unpackLong(), readText(in), readText(in), readClaim(in), readClaims(in));
      if (message.sender().about() == null) {
        throw new UndecodableException("the sender has no metadata", false);
      }
      in.skipValue(extra);
      return message;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new UndecodableException(e.toString(), false);
    }
  }

  /** Decodes the content of a frame. */
  public Frame decodeFrame(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int extra = extraFields(in.unpackArrayHeader(), FRAME_FIELDS);
      boolean fromMember = readHeader(in, true);
      Frame frame =
          new Frame(
              constant(Frame.Kind.values(), in.unpackInt()),
              in.unpackBoolean(),
              readClaims(in),
              in.unpackString());
      in.skipValue(extra);
      if (!fromMember && frame.kind == Frame.Kind.SYNC) {
        throw new UndecodableException("full exchange without the name of a fleet", true);
      }
      return frame;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new UndecodableException(e.toString(), false);
    }
  }

  /** Decodes a topic message; returns null where the input is another datagram or frame. */
  public TopicMessage decodeTopicMessage(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int fields = in.unpackArrayHeader();
      readHeader(in, true);
      if (in.unpackInt() != TOPIC_MESSAGE_KIND) {
        return null;
      }
      int extra = extraFields(fields, TOPIC_MESSAGE_FIELDS);
      TopicMessage message =
          new TopicMessage(
              readText(in),
              readText(in),
              readText(in),
              readText(in),
              in.readPayload(in.unpackBinaryHeader()));
      in.skipValue(extra);
      return message;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new UndecodableException(e.toString(), false);
    }
  }

  /**
   * Reads and checks the version and the fleet.
   *
   * @param operatorsAllowed whether the input may come from an operator or go to one
   * @return whether the sender is a member of a fleet
   */
  private boolean readHeader(MessageUnpacker in, boolean operatorsAllowed)
      throws IOException, UndecodableException {
    int version = in.unpackInt();
    if (version != VERSION) {
      throw new UndecodableException("protocol version " + version + " is not supported", true);
    }
    String sourceFleet = readText(in);
    if (!sourceFleet.equals(fleet)
        && !(operatorsAllowed && (sourceFleet.isEmpty() || fleet.isEmpty()))) {
      throw new UndecodableException("message of fleet " + sourceFleet, true);
    }
    return !sourceFleet.isEmpty();
  }

  /** Returns the number of fields that a later version has appended. */
  private static int extraFields(int fields, int needed) {
    require(fields >= needed, "too few fields");
    return fields - needed;
  }

  private static List<Claim> readClaims(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    require(count <= MAX_CLAIMS, "too many claims");
    List<Claim> claims = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      claims.add(readClaim(in));
    }
    return claims;
  }

  private static Claim readClaim(MessageUnpacker in) throws IOException {
    int extra = extraFields(in.unpackArrayHeader(), CLAIM_FIELDS);
    String name = readText(in);
    int generation = in.unpackInt();
    long startId = in.unpackLong();
    long incarnation = in.unpackLong();
    Claim.Status status = constant(Claim.Status.values(), in.unpackInt());
    String accuser = readText(in);
    long age = in.unpackLong();
    require(
        !name.isEmpty()
            && generation > 0
            && generation < MAX_GENERATION
            && incarnation >= 0
            && incarnation < MAX_NUMBER
            && age >= 0
            && age < MAX_NUMBER,
        "a number of a claim is out of range");
    Claim claim =
        new Claim(
            name,
            new ProcessGeneration(generation, startId),
            incarnation,
            status,
            in.tryUnpackNil() ? null : readAbout(in),
            accuser,
            age);
    in.skipValue(extra);
    return claim;
  }

  private static About readAbout(MessageUnpacker in) throws IOException {
    int extra = extraFields(in.unpackArrayHeader(), ABOUT_FIELDS);
    About about =
        new About(
            readText(in),
            readText(in),
            constant(About.State.values(), in.unpackInt()),
            readText(in),
            readText(in),
            readText(in),
            in.unpackInt(),
            in.unpackBoolean());
    in.skipValue(extra);
    return about;
  }

  private static String readText(MessageUnpacker in) throws IOException {
    String text = in.unpackString();
    require(text.length() <= MAX_TEXT_LENGTH, "text is too long");
    return text;
  }

  private static <E> E constant(E[] constants, int code) {
    require(code >= 0 && code < constants.length, "unknown code of a constant");
    return constants[code];
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
