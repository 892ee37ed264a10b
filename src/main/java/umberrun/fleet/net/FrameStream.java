package umberrun.fleet.net;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import umberrun.fleet.Claim;
import umberrun.fleet.net.FleetCodec.Frame;
import umberrun.fleet.net.FleetCodec.TopicMessage;
import umberrun.fleet.net.FleetCodec.UndecodableException;

/**
 * Frames on one connection: four bytes of length and the content. A long list goes out piece by
 * piece, each when the last is written.
 */
final class FrameStream {
  private static final int LENGTH_BYTES = 4;
  private static final int TEXT_A_FRAME = 32 << 10;

  private final FleetCodec codec;
  private final NetSocket socket;

  /**
   * @param parcel takes each parcel
   * @param frame takes each frame
   * @param wrong is told why the connection can't go on; it is closed by then
   */
  FrameStream(
      FleetCodec codec,
      NetSocket socket,
      Consumer<TopicMessage> parcel,
      Consumer<Frame> frame,
      Consumer<UndecodableException> wrong) {
    this.codec = codec;
    this.socket = socket;
    RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
    boolean[] inside = new boolean[1];
    parser.handler(
        piece -> {
          try {
            if (inside[0]) {
              inside[0] = false;
              parser.fixedSizeMode(LENGTH_BYTES);
              byte[] content = piece.getBytes();
              TopicMessage p = codec.decodeTopicMessage(content);
              if (p != null) {
                parcel.accept(p);
              } else {
                frame.accept(codec.decodeFrame(content));
              }
              return;
            }
            int length = piece.getInt(0);
            if (length <= 0 || length > FleetCodec.MAX_FRAME_BYTES) { // guards the memory
              throw new UndecodableException("a frame of " + length + " bytes", false);
            }
            inside[0] = true;
            parser.fixedSizeMode(length);
          } catch (UndecodableException e) {
            socket.close();
            wrong.accept(e);
          }
        });
    socket.handler(parser);
  }

  Future<Void> send(Frame f) {
    return send(socket, codec.encode(f));
  }

  static Future<Void> send(NetSocket socket, byte[] content) {
    return socket.write(
        Buffer.buffer(LENGTH_BYTES + content.length)
            .appendInt(content.length)
            .appendBytes(content));
  }

  /** Sends claims as one full exchange's half. */
  Future<Void> send(List<Claim> claims) {
    int most = Math.min(FleetCodec.CLAIMS_A_FRAME, claims.size());
    boolean last = most == claims.size();
    Future<Void> sent = send(new Frame(Frame.Kind.SYNC, last, claims.subList(0, most), ""));
    return last ? sent : sent.compose(v -> send(claims.subList(most, claims.size())));
  }

  /** Sends a text of any length. */
  Future<Void> send(Frame.Kind kind, String text) {
    List<Frame> frames = new ArrayList<>();
    for (int from = 0; from == 0 || from < text.length(); from += TEXT_A_FRAME) {
      int to = Math.min(text.length(), from + TEXT_A_FRAME);
      frames.add(new Frame(kind, to == text.length(), List.of(), text.substring(from, to)));
    }
    Future<Void> sent = Future.succeededFuture();
    for (Frame f : frames) {
      sent = sent.compose(v -> send(f));
    }
    return sent;
  }
}
