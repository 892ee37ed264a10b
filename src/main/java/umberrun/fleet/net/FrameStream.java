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
 * Reads and writes frames on one connection. A frame is its length in four bytes, big-endian, and
 * the content. A long list of claims or a long text is sent in several frames, each once the
 * previous one is written.
 */
final class FrameStream {
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_TEXT_LENGTH_PER_FRAME = 32 << 10;

  private final FleetCodec codec;
  private final NetSocket socket;

  /**
   * @param onTopicMessage receives each topic message
   * @param onFrame receives each other frame
   * @param onError receives the reason why the input can't be decoded; the connection is closed by
   *     then
   */
  FrameStream(
      FleetCodec codec,
      NetSocket socket,
      Consumer<TopicMessage> onTopicMessage,
      Consumer<Frame> onFrame,
      Consumer<UndecodableException> onError) {
    this.codec = codec;
    this.socket = socket;
    RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
    boolean[] inContent = new boolean[1];
    parser.handler(
        chunk -> {
          try {
            if (inContent[0]) {
              inContent[0] = false;
              parser.fixedSizeMode(LENGTH_BYTES);
              byte[] content = chunk.getBytes();
              TopicMessage topicMessage = codec.decodeTopicMessage(content);
              if (topicMessage != null) {
                onTopicMessage.accept(topicMessage);
              } else {
                onFrame.accept(codec.decodeFrame(content));
              }
              return;
            }
            int length = chunk.getInt(0);
            // Bounds the memory that a sender can make this process allocate.
            if (length <= 0 || length > FleetCodec.MAX_FRAME_BYTES) {
              throw new UndecodableException(
                  "frame length of " + length + " bytes is out of range", false);
            }
            inContent[0] = true;
            parser.fixedSizeMode(length);
          } catch (UndecodableException e) {
            socket.close();
            onError.accept(e);
          }
        });
    socket.handler(parser);
  }

  Future<Void> send(Frame frame) {
    return send(socket, codec.encode(frame));
  }

  static Future<Void> send(NetSocket socket, byte[] content) {
    return socket.write(
        Buffer.buffer(LENGTH_BYTES + content.length)
            .appendInt(content.length)
            .appendBytes(content));
  }

  /** Sends the claims of one side of a full exchange. */
  Future<Void> send(List<Claim> claims) {
    int count = Math.min(FleetCodec.MAX_CLAIMS_PER_FRAME, claims.size());
    boolean last = count == claims.size();
    Future<Void> sent = send(new Frame(Frame.Kind.SYNC, last, claims.subList(0, count), ""));
    return last ? sent : sent.compose(v -> send(claims.subList(count, claims.size())));
  }

  /** Sends a text of any length. */
  Future<Void> send(Frame.Kind kind, String text) {
    List<Frame> frames = new ArrayList<>();
    for (int from = 0; from == 0 || from < text.length(); from += MAX_TEXT_LENGTH_PER_FRAME) {
      int to = Math.min(text.length(), from + MAX_TEXT_LENGTH_PER_FRAME);
      frames.add(new Frame(kind, to == text.length(), List.of(), text.substring(from, to)));
    }
    Future<Void> sent = Future.succeededFuture();
    for (Frame frame : frames) {
      sent = sent.compose(v -> send(frame));
    }
    return sent;
  }
}
